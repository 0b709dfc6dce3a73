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

// intend writes the intent, or returns the answer of an earlier call.
func (b *Executor) intend(k Call, nonce string) (provider.RowVersion, *Answer, error) {
	for range 3 {
		err := b.insert(k, nonce, 0)
		if err == nil {
			return 1, nil, nil
		}
		row, readErr := b.Table.Get(b.life, k.row())
		if readErr != nil || row.Version == 0 {
			if errors.Is(err, provider.ErrConflict) && readErr == nil {
				continue
			}
			b.abandon(nonce)
			if b.runsElsewhere(k) {
				return 0, nil, stillRunning()
			}
			return 0, nil, refusal.Later(refusal.StoreUnavailable, retryAfter, "the table gives no answer, so the call was not sent")
		}
		var s storedCall
		if json.Unmarshal([]byte(row.Value), &s) != nil {
			return 0, nil, eris.New("stored call is unreadable")
		}
		if s.Nonce == nonce {
			return row.Version, nil, nil
		}
		a, again, err := b.resolve(k, row, s)
		if !again {
			return 0, a, err
		}
		if err := b.insert(k, nonce, row.Version); err == nil {
			return row.Version + 1, nil, nil
		}
	}
	return 0, nil, refusal.Later(refusal.StoreUnavailable, retryAfter, "the intent could not be written, so the call was not sent")
}

func (b *Executor) insert(k Call, nonce string, version provider.RowVersion) error {
	s := storedCall{Nonce: nonce, Instance: b.Instance, Mesh: b.MeshAddress, Content: k.Content, AtUnix: b.Timer.Now().Unix()}
	return b.write(k, s, version)
}

func (b *Executor) write(k Call, s storedCall, version provider.RowVersion) error {
	v, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode call")
	}
	return b.Table.Transact(b.life, provider.Transaction{
		Conditions: []provider.Condition{{Key: k.row(), Version: version}},
		Puts:       []provider.Put{{Key: k.row(), Value: string(v)}},
	})
}

// resolve decides about a call whose row another run wrote. Again is true
// when that run never sent the call, so that this one may.
func (b *Executor) resolve(k Call, row provider.Row, s storedCall) (a *Answer, again bool, err error) {
	if s.Content != k.Content {
		return nil, false, refusal.New(refusal.IdempotencyKeyConflict, http.StatusUnprocessableEntity, "the idempotency key was used for another request")
	}
	if s.Answered {
		b.record(timeline.Replayed, k, "recorded answer")
		return &Answer{Status: s.Status, ContentType: s.ContentType, Body: s.Body, Replayed: true}, false, nil
	}
	x, cancel := context.WithTimeout(b.life, askTimeout)
	defer cancel()
	r, err := b.ask(x, s)
	switch {
	case err == nil && r.Abandoned:
		return nil, true, nil
	case err == nil && r.Running:
		return b.await(k, row)
	default:
		return b.lastLook(k)
	}
}

func (b *Executor) ask(c context.Context, s storedCall) (*statusReply, error) {
	if s.Instance == b.Instance && s.Mesh == b.MeshAddress {
		return b.status(&statusQuery{Nonce: s.Nonce}), nil
	}
	return mesh.Call[statusQuery, statusReply](c, b.Mesh, s.Mesh, statusMethod, &statusQuery{Nonce: s.Nonce})
}

// await waits a moment for the answer of a call that another instance runs.
func (b *Executor) await(k Call, row provider.Row) (*Answer, bool, error) {
	x, cancel := context.WithTimeout(b.life, retryAfter)
	defer cancel()
	for b.Timer.Wait(x, pollInterval) == nil {
		now, err := b.Table.Get(x, k.row())
		if err == nil && now.Version != row.Version {
			return b.lastLook(k)
		}
	}
	return nil, false, stillRunning()
}

func stillRunning() *refusal.Refusal {
	r := refusal.New(refusal.CallRunning, http.StatusConflict, "the call is still running on another instance").WithRun(refusal.Unknown)
	r.RetryAfter = retryAfter
	return r
}

// runsElsewhere asks the peers whether one of them runs the call, while the
// table cannot tell.
func (b *Executor) runsElsewhere(k Call) bool {
	x, cancel := context.WithTimeout(b.life, askTimeout)
	defer cancel()
	peers := b.Fleet.Peers()
	answers := make(chan bool, len(peers))
	for _, m := range peers {
		go func() {
			r, err := mesh.Call[statusQuery, statusReply](x, b.Mesh, m.Mesh, statusMethod, &statusQuery{Row: k.row()})
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

// lastLook returns the answer if it was recorded by now. Otherwise the
// outcome is not known.
func (b *Executor) lastLook(k Call) (*Answer, bool, error) {
	row, err := b.Table.Get(b.life, k.row())
	var s storedCall
	if err == nil && json.Unmarshal([]byte(row.Value), &s) == nil && s.Answered {
		return &Answer{Status: s.Status, ContentType: s.ContentType, Body: s.Body, Replayed: true}, false, nil
	}
	return nil, false, refusal.New(refusal.OutcomeUnknown, http.StatusConflict,
		"an earlier call with this idempotency key may have run, but its answer is not known").WithRun(refusal.Unknown)
}

// recordAnswer tries until the answer is in the table or the process ends.
func (b *Executor) recordAnswer(k Call, nonce string, version provider.RowVersion, a Answer) {
	s := storedCall{
		Nonce: nonce, Instance: b.Instance, Mesh: b.MeshAddress, Content: k.Content, AtUnix: b.Timer.Now().Unix(),
		Answered: true, Status: a.Status, ContentType: a.ContentType, Body: a.Body,
	}
	for {
		err := b.write(k, s, version)
		if err == nil || errors.Is(err, provider.ErrConflict) {
			b.record(timeline.AnswerRecorded, k, "")
			return
		}
		b.Log.Warn("answer is not recorded yet", zap.String("request", k.Request), zap.Error(err))
		if b.Timer.Wait(b.life, recordInterval) != nil {
			return
		}
	}
}

func (b *Executor) remove(k Call, version provider.RowVersion) {
	_ = b.Table.Transact(b.life, provider.Transaction{
		Conditions: []provider.Condition{{Key: k.row(), Version: version}},
		Deletes:    []string{k.row()},
	})
}
