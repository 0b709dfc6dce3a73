// Package engine gives orders to model engines and reads their reports, by
// vLLM's published interface.
package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
)

// FencingHeader carries the fencing number of an order.
const FencingHeader = "Fencing-Number"

// FencingToken orders the owners of an upstream: a later owner's is higher.
type FencingToken int64

// Errors of engine calls.
var (
	// ErrUnreachable says that the engine gave no answer. An order may have
	// taken effect.
	ErrUnreachable = eris.New("engine gave no answer")
	// ErrFenced says that the engine has seen a higher fencing number.
	ErrFenced = eris.New("engine refused an old fencing number")
	// ErrFailed says that the engine could not carry out the order.
	ErrFailed = eris.New("engine could not carry out the order")
)

// Report is what an engine reports about itself. It lags.
type Report struct {
	Incarnation adapter.Incarnation
	Running     int
}

// Client calls engines. The function fields are seams for tests.
type Client struct {
	Load   func(c context.Context, address string, a lists.Adapter, n FencingToken) error
	Unload func(c context.Context, address string, a lists.Adapter, n FencingToken) error
	Models func(c context.Context, address string) ([]lists.Adapter, error)
	Report func(c context.Context, address string) (Report, error)
}

type caller struct {
	http *http.Client
}

const idleConnections = 4

// New returns a client of engines.
func New() *Client {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute}
	k := &caller{http: &http.Client{Transport: t}}
	return &Client{Load: k.load, Unload: k.unload, Models: k.models, Report: k.report}
}

type loadOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

type unloadOrder struct {
	Name string `json:"lora_name"`
}

func (k *caller) order(c context.Context, s *sling.Sling, n FencingToken) error {
	r, err := s.Request()
	if err != nil {
		return eris.Wrap(err, "make engine order")
	}
	r.Header.Set(FencingHeader, formatNumber(n))
	a, err := k.http.Do(r.WithContext(c))
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	defer a.Body.Close()
	switch a.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return eris.Wrapf(ErrFailed, "status %d", a.StatusCode)
	}
}

func (k *caller) load(c context.Context, address string, a lists.Adapter, n FencingToken) error {
	o := loadOrder{Name: string(a), Path: string(a)}
	return k.order(c, sling.New().Post("http://"+address+"/v1/load_lora_adapter").BodyJSON(o), n)
}

func (k *caller) unload(c context.Context, address string, a lists.Adapter, n FencingToken) error {
	return k.order(c, sling.New().Post("http://"+address+"/v1/unload_lora_adapter").BodyJSON(unloadOrder{Name: string(a)}), n)
}

type modelMessage struct {
	ID string `json:"id"`
}

type modelsMessage struct {
	Data []modelMessage `json:"data"`
}

func (k *caller) models(c context.Context, address string) ([]lists.Adapter, error) {
	var m modelsMessage
	r, err := sling.New().Get("http://" + address + "/v1/models").Request()
	if err != nil {
		return nil, eris.Wrap(err, "make engine request")
	}
	a, err := sling.New().Client(k.http).Do(r.WithContext(c), &m, nil)
	if err != nil || a.StatusCode != http.StatusOK {
		return nil, eris.Wrap(ErrUnreachable, "list models")
	}
	all := make([]lists.Adapter, len(m.Data))
	for i, x := range m.Data {
		all[i] = lists.Adapter(x.ID)
	}
	return all, nil
}

func (k *caller) report(c context.Context, address string) (Report, error) {
	r, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return Report{}, eris.Wrap(err, "make engine request")
	}
	a, err := k.http.Do(r)
	if err != nil {
		return Report{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	defer a.Body.Close()
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(a.Body)
	if err != nil {
		return Report{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	var out Report
	if f := families["process_start_time_seconds"]; f != nil && len(f.GetMetric()) > 0 {
		out.Incarnation = adapter.Incarnation(f.GetMetric()[0].GetGauge().GetValue() * float64(time.Second/time.Microsecond))
	}
	if f := families["vllm:num_requests_running"]; f != nil && len(f.GetMetric()) > 0 {
		out.Running = int(f.GetMetric()[0].GetGauge().GetValue())
	}
	return out, nil
}

func formatNumber(n FencingToken) string {
	return strconv.FormatInt(int64(n), 10)
}
