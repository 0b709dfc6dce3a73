// Package engine is a client of vLLM's HTTP interface: it loads and unloads
// adapters on model engines, lists them, and reads the engines' metrics.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/transport/relay"
	"gentiangauge.example/gentiangauge/transport/response"
)

// FencingHeader carries the fencing token of a load or unload request.
const FencingHeader = "Fencing-Number"

// FencingToken orders the successive owners of an engine: a later owner has a higher
// token.
type FencingToken int64

// Errors returned by Client.
var (
	// ErrUnreachable means that the engine did not answer. The request may have taken
	// effect.
	ErrUnreachable = eris.New("engine did not answer")
	// ErrFenced means that the engine has seen a higher fencing token.
	ErrFenced = eris.New("engine rejected a stale fencing token")
	// ErrFailed means that the engine could not carry out the request.
	ErrFailed = eris.New("engine failed to load or unload the adapter")
)

// Report is what an engine's metrics say about it. The metrics lag behind its state.
type Report struct {
	Incarnation adapter.Incarnation
	Running     int
}

// Client calls engines. The function fields can be replaced in tests.
type Client struct {
	Load   func(c context.Context, address string, a lists.Adapter, n FencingToken) error
	Unload func(c context.Context, address string, a lists.Adapter, n FencingToken) error
	Models func(c context.Context, address string) ([]lists.Adapter, error)
	Report func(c context.Context, address string) (Report, error)
}

type httpClient struct {
	http *http.Client
}

const (
	idleConnections = 4
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 4 << 20
)

// New returns a client of engines.
func New() *Client {
	k := &httpClient{http: response.NewClient(&http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute})}
	return &Client{Load: k.load, Unload: k.unload, Models: k.models, Report: k.report}
}

type loadRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

type unloadRequest struct {
	Name string `json:"lora_name"`
}

func (k *httpClient) post(c context.Context, s *sling.Sling, n FencingToken) error {
	r, err := s.Request()
	if err != nil {
		return eris.Wrap(err, "build engine request")
	}
	r.Header.Set(FencingHeader, formatToken(n))
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

func (k *httpClient) load(c context.Context, address string, a lists.Adapter, n FencingToken) error {
	o := loadRequest{Name: string(a), Path: string(a)}
	return k.post(c, sling.New().Post("http://"+address+"/v1/load_lora_adapter").BodyJSON(o), n)
}

func (k *httpClient) unload(c context.Context, address string, a lists.Adapter, n FencingToken) error {
	return k.post(c, sling.New().Post("http://"+address+"/v1/unload_lora_adapter").BodyJSON(unloadRequest{Name: string(a)}), n)
}

// get returns the body of a response with status 200. It fails with ErrUnreachable.
func (k *httpClient) get(c context.Context, url string) ([]byte, error) {
	r, err := http.NewRequestWithContext(c, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "build engine request")
	}
	a, err := k.http.Do(r)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(ErrUnreachable, "%s: status %d", url, a.StatusCode)
	}
	data, err := relay.ReadAll(a.Body, maxResponseBytes)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", url, err)
	}
	return data, nil
}

type modelMessage struct {
	ID string `json:"id"`
}

type modelsMessage struct {
	Data []modelMessage `json:"data"`
}

func (k *httpClient) models(c context.Context, address string) ([]lists.Adapter, error) {
	var m modelsMessage
	data, err := k.get(c, "http://"+address+"/v1/models")
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "list models of %s: %v", address, err)
	}
	all := make([]lists.Adapter, len(m.Data))
	for i, x := range m.Data {
		all[i] = lists.Adapter(x.ID)
	}
	return all, nil
}

func (k *httpClient) report(c context.Context, address string) (Report, error) {
	data, err := k.get(c, "http://"+address+"/metrics")
	if err != nil {
		return Report{}, err
	}
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(bytes.NewReader(data))
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

func formatToken(n FencingToken) string {
	return strconv.FormatInt(int64(n), 10)
}
