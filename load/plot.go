package load

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

// WritePlot writes an SVG plot of the time to first token and of the failed requests over the
// run, with a vertical line for each mark. It fails if no request was answered.
func (o *Report) WritePlot(w io.Writer) error {
	times, firsts := []float64{}, []float64{}
	refusedAt, refusedValue := []float64{0}, []float64{0}
	highest := 0.0
	for _, x := range o.results {
		at := x.arrival.Due.Seconds()
		if x.ok() {
			times = append(times, at)
			firsts = append(firsts, milliseconds(x.firstToken))
			highest = max(highest, milliseconds(x.firstToken))
			continue
		}
		refusedAt = append(refusedAt, at)
		refusedValue = append(refusedValue, 0)
	}
	if len(times) == 0 {
		return eris.Errorf("draw plot: none of %d requests was answered", len(o.results))
	}
	c := chart.Chart{
		Title:  "time to first token, " + o.Preset,
		Width:  1200,
		Height: 500,
		XAxis:  chart.XAxis{Name: "seconds"},
		YAxis:  chart.YAxis{Name: "milliseconds"},
		Series: append([]chart.Series{
			dotSeries("answered", times, firsts, chart.ColorBlue),
			dotSeries("refused or cut", refusedAt, refusedValue, chart.ColorRed),
		}, o.markSeries(highest)...),
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return eris.Wrap(c.Render(chart.SVG, w), "draw plot")
}

// dotSeries returns a series drawn as dots without a connecting line.
func dotSeries(name string, x, y []float64, color drawing.Color) chart.Series {
	const width = 2
	return chart.ContinuousSeries{Name: name, XValues: x, YValues: y, Style: chart.Style{StrokeWidth: chart.Disabled, DotWidth: width, DotColor: color}}
}

// markSeries returns a vertical line, up to the highest value, for each mark.
func (o *Report) markSeries(highest float64) []chart.Series {
	var all []chart.Series
	for _, m := range o.marks {
		at := m.At.Seconds()
		all = append(all, chart.ContinuousSeries{
			Name: m.Name + " at " + m.At.Round(time.Second).String(), XValues: []float64{at, at}, YValues: []float64{0, highest},
			Style: chart.Style{StrokeColor: chart.ColorAlternateGray, StrokeWidth: 1},
		})
	}
	return all
}
