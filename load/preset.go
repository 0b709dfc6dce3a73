// Package load is a model of the systems served, with a generator of their
// load and a report of the measures that matter to them.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

// Workspace is the load of one workspace.
type Workspace struct {
	ID lists.WorkspaceID
	// Share is the part of all adapters that belong to the workspace.
	Share float64
	Rate  lists.TokensPerSecond
	Burst lists.Tokens
}

// Preset is the model of one system.
type Preset struct {
	Name           string
	Zones          []string
	Instances      int
	Engines        int
	Services       int
	Adapters       int
	SlotsPerEngine int
	AdapterPrefix  string
	Workspaces     []Workspace
	// LoadsPerSecond is what the weight store allows.
	LoadsPerSecond int
	// RequestsPerSecond is the mean rate of arrivals.
	RequestsPerSecond float64
	// ZipfExponent is the exponent of Zipf's law for the adapters.
	ZipfExponent float64
	// DriftPerHour is the share of adapters that wake or fall idle.
	DriftPerHour float64
	// DriftSpeedup is how much faster than real time the drift goes.
	DriftSpeedup float64
	// BookingShare is the share of requests that are calls to a plain service.
	BookingShare     float64
	MeanPromptTokens float64
	MeanOutputTokens float64
	MaxOutputTokens  int
}

const (
	adapters     = 3000
	driftPerHour = 0.073
	driftSpeed   = 60
)

// Presets returns the models by name.
func Presets() map[string]Preset {
	return map[string]Preset{
		"wuerfelturm": {
			Name: "wuerfelturm", Zones: []string{"rosenheim", "traunstein", "landshut"}, Instances: 13, Engines: 12, Services: 3,
			Adapters: adapters, SlotsPerEngine: 16, AdapterPrefix: "gravur", LoadsPerSecond: 3, RequestsPerSecond: 24, ZipfExponent: 1.5,
			DriftPerHour: driftPerHour, DriftSpeedup: driftSpeed, BookingShare: 0.1, MeanPromptTokens: 30, MeanOutputTokens: 40, MaxOutputTokens: 300,
			Workspaces: []Workspace{
				{"gravur-vorschau", 0.4, 4000, 60000}, {"kunden-fragen", 0.3, 3000, 45000}, {"gilden-sammelbestellung", 0.15, 1500, 24000},
				{"versand-auskunft", 0.1, 1000, 16000}, {"holz-beratung", 0.05, 500, 10000},
			},
		},
		"patos-del-lago": {
			Name: "patos-del-lago", Zones: []string{"solola", "panajachel", "chimaltenango"}, Instances: 15, Engines: 18, Services: 3,
			Adapters: adapters, SlotsPerEngine: 16, AdapterPrefix: "franquicia", LoadsPerSecond: 4, RequestsPerSecond: 32, ZipfExponent: 1.5,
			DriftPerHour: driftPerHour, DriftSpeedup: driftSpeed, BookingShare: 0.15, MeanPromptTokens: 25, MeanOutputTokens: 35, MaxOutputTokens: 250,
			Workspaces: []Workspace{
				{"avisos-de-entrega", 0.45, 5000, 75000}, {"preguntas-de-suscriptores", 0.3, 3500, 50000}, {"resumen-semanal", 0.15, 1800, 28000},
				{"rutas-del-amanecer", 0.07, 900, 15000}, {"pruebas", 0.03, 400, 8000},
			},
		},
	}
}

// adapter names the adapter with a number.
func (p Preset) adapter(i int) lists.Adapter {
	return lists.Adapter(fmt.Sprintf("%s-%04d@1", p.AdapterPrefix, i))
}

// owner returns the index of the workspace that an adapter belongs to.
func (p Preset) owner(i int) int {
	r := rand.New(rand.NewPCG(uint64(i), uint64(len(p.Workspaces))))
	x := r.Float64()
	for w := range p.Workspaces {
		x -= p.Workspaces[w].Share
		if x < 0 {
			return w
		}
	}
	return len(p.Workspaces) - 1
}

// Lists returns the state that allows each workspace its adapters.
func (p Preset) Lists() *lists.State {
	s := lists.Empty()
	for _, w := range p.Workspaces {
		plan := lists.PlanID("plan-" + w.ID)
		s.Workspaces[w.ID] = plan
		s.Plans[plan] = lists.Plan{ID: plan, Rate: w.Rate, Burst: w.Burst, Adapters: map[string][]string{}}
	}
	for i := range p.Adapters {
		a := p.adapter(i)
		s.Plans[lists.PlanID("plan-"+p.Workspaces[p.owner(i)].ID)].Adapters[a.Name()] = []string{a.Version()}
	}
	return s
}

// Arrival is one request of the schedule.
type Arrival struct {
	Due          time.Duration
	Workspace    int
	Adapter      lists.Adapter
	PromptTokens int
	OutputTokens int
	Stream       bool
	Booking      bool
}

// Schedule returns the arrivals of a span, in the order of their due times.
// The same seed gives the same schedule. Loud is the index of a workspace
// that sends factor times its load, or -1.
func (p Preset) Schedule(seed uint64, span time.Duration, loud int, factor float64) []Arrival {
	g := newGenerator(p, seed)
	var all []Arrival
	extra := 1.0
	if loud >= 0 {
		extra = 1 + p.Workspaces[loud].Share*(factor-1)
	}
	for due := time.Duration(0); due < span; {
		due += time.Duration(g.random.ExpFloat64() / (p.RequestsPerSecond * extra) * float64(time.Second))
		a := g.arrival(due)
		if loud >= 0 && g.random.Float64() < (extra-1)/extra {
			a = g.arrivalOf(due, loud)
		}
		all = append(all, a)
	}
	return all
}

type generator struct {
	preset Preset
	random *rand.Rand
	zipf   *rand.Zipf
	// ranks maps the popularity rank to the number of the adapter.
	ranks   []int
	drifted float64
	at      time.Duration
}

func newGenerator(p Preset, seed uint64) *generator {
	r := rand.New(rand.NewPCG(seed, 1))
	return &generator{preset: p, random: r, zipf: rand.NewZipf(r, p.ZipfExponent, 1, uint64(p.Adapters-1)), ranks: r.Perm(p.Adapters)}
}

// drift lets adapters wake and fall idle for the time since the last call.
func (g *generator) drift(now time.Duration) {
	p := g.preset
	g.drifted += (now - g.at).Hours() * p.DriftSpeedup * p.DriftPerHour * float64(p.Adapters) / 2
	g.at = now
	for ; g.drifted >= 1; g.drifted-- {
		i, j := g.random.IntN(p.Adapters), g.random.IntN(p.Adapters)
		g.ranks[i], g.ranks[j] = g.ranks[j], g.ranks[i]
	}
}

func (g *generator) arrival(due time.Duration) Arrival {
	g.drift(due)
	return g.make(due, g.ranks[g.zipf.Uint64()])
}

// arrivalOf draws until the adapter belongs to the workspace.
func (g *generator) arrivalOf(due time.Duration, workspace int) Arrival {
	for {
		i := g.ranks[g.zipf.Uint64()]
		if g.preset.owner(i) == workspace {
			return g.make(due, i)
		}
	}
}

func (g *generator) make(due time.Duration, adapter int) Arrival {
	p := g.preset
	return Arrival{
		Due:          due,
		Workspace:    p.owner(adapter),
		Adapter:      p.adapter(adapter),
		PromptTokens: 1 + int(g.random.ExpFloat64()*p.MeanPromptTokens),
		OutputTokens: min(p.MaxOutputTokens, 1+int(g.random.ExpFloat64()*p.MeanOutputTokens)),
		Stream:       g.random.IntN(2) == 0,
		Booking:      g.random.Float64() < p.BookingShare,
	}
}
