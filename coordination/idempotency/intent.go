package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

type storedCall struct {
	Nonce       string `json:"nonce"`
	Instance    string `json:"instance"`
	Mesh        string `json:"mesh"`
	Content     string `json:"content"`
	Answered    bool   `json:"answered"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	AtUnix      int64  `json:"at-unix-seconds"`
}

// writeIntent writes the intent and returns its row version, or returns the answer of an earlier
// call. It fails with a refusal, or with an error if the stored call cannot be decoded.
func (e *Executor) writeIntent(k Call, nonce string) (provider.RowVersion, *Answer, error) {
	for range 3 {
		err := e.insert(k, nonce, 0)
		if err == nil {
			return 1, nil, nil
		}
		row, readErr := e.Table.Get(e.ctx, k.row())
		if readErr != nil || row.Version == 0 {
			if errors.Is(err, provider.ErrConflict) && readErr == nil {
				continue
			}
			e.markAbandoned(nonce)
			if e.runsOnPeer(k) {
				return 0, nil, stillRunning()
			}
			return 0, nil, refusal.Later(refusal.StoreUnavailable, retryAfter, "the table gives no answer, so the call was not sent")
		}
		var s storedCall
		if json.Unmarshal([]byte(row.Value), &s) != nil {
			return 0, nil, eris.Errorf("decode stored call %s", row.Key)
		}
		if s.Nonce == nonce {
			return row.Version, nil, nil
		}
		a, again, err := e.resolve(k, row, s)
		if !again {
			return 0, a, err
		}
		if err := e.insert(k, nonce, row.Version); err == nil {
			return row.Version + 1, nil, nil
		}
	}
	return 0, nil, refusal.Later(refusal.StoreUnavailable, retryAfter, "the intent could not be written, so the call was not sent")
}

func (e *Executor) insert(k Call, nonce string, version provider.RowVersion) error {
	s := storedCall{Nonce: nonce, Instance: e.Instance, Mesh: e.MeshAddress, Content: k.Content, AtUnix: e.Timer.Now().Unix()}
	return e.write(k, s, version)
}

func (e *Executor) write(k Call, s storedCall, version provider.RowVersion) error {
	v, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode call")
	}
	return e.Table.Transact(e.ctx, provider.Transaction{
		Conditions: []provider.Condition{{Key: k.row(), Version: version}},
		Puts:       []provider.Put{{Key: k.row(), Value: string(v)}},
	})
}

// resolve handles a row that another execution wrote: it returns the recorded answer, or waits for
// it. Again is true if that execution never sent the call, so that this one may.
func (e *Executor) resolve(k Call, row provider.Row, s storedCall) (a *Answer, again bool, err error) {
	if s.Content != k.Content {
		return nil, false, refusal.New(refusal.IdempotencyKeyConflict, http.StatusUnprocessableEntity, "the idempotency key was used for another request")
	}
	if s.Answered {
		e.recordEvent(timeline.Replayed, k, "recorded answer")
		return &Answer{Status: s.Status, ContentType: s.ContentType, Body: s.Body, Replayed: true}, false, nil
	}
	x, cancel := context.WithTimeout(e.ctx, statusTimeout)
	defer cancel()
	r, err := e.queryStatus(x, s)
	switch {
	case err == nil && r.Abandoned:
		return nil, true, nil
	case err == nil && r.Running:
		return e.awaitAnswer(k, row)
	default:
		return e.recordedAnswer(k)
	}
}

func (e *Executor) queryStatus(c context.Context, s storedCall) (*statusReply, error) {
	if s.Instance == e.Instance && s.Mesh == e.MeshAddress {
		return e.status(&statusRequest{Nonce: s.Nonce}), nil
	}
	return mesh.Call[statusRequest, statusReply](c, e.Mesh, s.Mesh, statusMethod, &statusRequest{Nonce: s.Nonce})
}

// awaitAnswer waits up to retryAfter for the answer of a call that another instance executes.
func (e *Executor) awaitAnswer(k Call, row provider.Row) (*Answer, bool, error) {
	x, cancel := context.WithTimeout(e.ctx, retryAfter)
	defer cancel()
	for e.Timer.Wait(x, pollInterval) == nil {
		now, err := e.Table.Get(x, k.row())
		if err == nil && now.Version != row.Version {
			return e.recordedAnswer(k)
		}
	}
	return nil, false, stillRunning()
}

func stillRunning() *refusal.Refusal {
	r := refusal.New(refusal.CallRunning, http.StatusConflict, "the call is still running on another instance").WithRun(refusal.Unknown)
	r.RetryAfter = retryAfter
	return r
}

// runsOnPeer reports whether a peer is executing the call. It is used while the table is
// unavailable.
func (e *Executor) runsOnPeer(k Call) bool {
	x, cancel := context.WithTimeout(e.ctx, statusTimeout)
	defer cancel()
	peers := e.Fleet.Peers()
	answers := make(chan bool, len(peers))
	for _, m := range peers {
		go func() {
			r, err := mesh.Call[statusRequest, statusReply](x, e.Mesh, m.Mesh, statusMethod, &statusRequest{Row: k.row()})
			answers <- err == nil && r.Running
		}()
	}
	for range peers {
		if <-answers {
			return true
		}
	}
	return false
}

// recordedAnswer returns the answer if it has been recorded. Otherwise it fails with a refusal,
// since the outcome is unknown.
func (e *Executor) recordedAnswer(k Call) (*Answer, bool, error) {
	row, err := e.Table.Get(e.ctx, k.row())
	var s storedCall
	if err == nil && json.Unmarshal([]byte(row.Value), &s) == nil && s.Answered {
		return &Answer{Status: s.Status, ContentType: s.ContentType, Body: s.Body, Replayed: true}, false, nil
	}
	return nil, false, refusal.New(refusal.OutcomeUnknown, http.StatusConflict,
		"an earlier call with this idempotency key may have run, but its answer is not known").WithRun(refusal.Unknown)
}

// recordAnswer retries until the answer is written to the table or the process ends.
func (e *Executor) recordAnswer(k Call, nonce string, version provider.RowVersion, a Answer) {
	s := storedCall{
		Nonce: nonce, Instance: e.Instance, Mesh: e.MeshAddress, Content: k.Content, AtUnix: e.Timer.Now().Unix(),
		Answered: true, Status: a.Status, ContentType: a.ContentType, Body: a.Body,
	}
	for {
		err := e.write(k, s, version)
		if err == nil || errors.Is(err, provider.ErrConflict) {
			e.recordEvent(timeline.AnswerRecorded, k, "")
			return
		}
		e.Log.Warn("could not record answer, retrying", zap.String("request", k.Request), zap.Error(err))
		if e.Timer.Wait(e.ctx, recordRetryInterval) != nil {
			return
		}
	}
}

func (e *Executor) removeIntent(k Call, version provider.RowVersion) {
	_ = e.Table.Transact(e.ctx, provider.Transaction{
		Conditions: []provider.Condition{{Key: k.row(), Version: version}},
		Deletes:    []string{k.row()},
	})
}
