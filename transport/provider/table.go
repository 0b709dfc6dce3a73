// Package provider holds clients of the platform's services: the transactional
// table service, the object store and the directory of instances.
package provider

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/transport/relay"
	"gentiangauge.example/gentiangauge/transport/response"
)

// Errors returned by the clients.
var (
	// ErrConflict means that a condition of a transaction did not hold, so nothing was
	// written.
	ErrConflict = eris.New("transaction condition does not hold")
	// ErrUnavailable means that the service did not answer or failed. A write may have
	// taken effect.
	ErrUnavailable = eris.New("platform service did not answer")
	// ErrNotFound means that no object has the name.
	ErrNotFound = eris.New("object not found")
)

// maxResponseBytes bounds the body of a response other than an object.
const maxResponseBytes = 64 << 20

// RowVersion counts the writes to a row. It is 0 if the row does not exist.
type RowVersion int64

// Row is a row of the table.
type Row struct {
	Key     string
	Value   string
	Version RowVersion
}

// Condition requires that a row has a version.
type Condition struct {
	Key     string
	Version RowVersion
}

// Put is a row to be written.
type Put struct {
	Key   string
	Value string
}

// Transaction is applied completely if every condition holds, and not at all otherwise.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Table is a client of the table service. The function fields can be replaced in tests.
type Table struct {
	// List returns up to limit rows whose keys have the prefix and follow the key
	// after, ordered by key. It fails with ErrUnavailable.
	List func(c context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact executes a transaction. It fails with ErrConflict or ErrUnavailable.
	Transact func(c context.Context, t Transaction) error
}

type rowMessage struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version int64  `json:"version"`
}

type listQuery struct {
	Prefix string `url:"prefix"`
	After  string `url:"after"`
	Limit  int    `url:"limit"`
}

type conditionMessage struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

type putMessage struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

type transactionMessage struct {
	Conditions []conditionMessage `json:"conditions"`
	Puts       []putMessage       `json:"puts"`
	Deletes    []string           `json:"deletes"`
}

type client struct {
	http    *http.Client
	base    *sling.Sling
	timeout time.Duration
}

func newClient(address string, timeout time.Duration) *client {
	t := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	return &client{http: response.NewClient(t), base: sling.New().Base("http://" + address + "/"), timeout: timeout}
}

// do sends a request with a context, which sling does not support itself, and returns the HTTP status and the body of the
// response. It fails with ErrUnavailable if the body has more than limit bytes.
func (c *client) do(x context.Context, s *sling.Sling, limit int64) (int, []byte, error) {
	x, cancel := context.WithTimeout(x, c.timeout)
	defer cancel()
	r, err := s.Request()
	if err != nil {
		return 0, nil, eris.Wrap(err, "build platform request")
	}
	answer, err := c.http.Do(r.WithContext(x))
	if err != nil {
		return 0, nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	defer answer.Body.Close()
	data, err := relay.ReadAll(answer.Body, limit)
	if err != nil {
		return 0, nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	return answer.StatusCode, data, nil
}

// get sends a request and decodes the response. It fails with ErrUnavailable unless its status is 200.
func (c *client) get(x context.Context, what string, s *sling.Sling, body any) error {
	status, data, err := c.do(x, s, maxResponseBytes)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Wrapf(ErrUnavailable, "%s: status %d", what, status)
	}
	if err := json.Unmarshal(data, body); err != nil {
		return eris.Wrapf(ErrUnavailable, "%s: %v", what, err)
	}
	return nil
}

// NewTable returns a client of the table service at an IP address and port.
func NewTable(address string, timeout time.Duration) *Table {
	c := newClient(address, timeout)
	return &Table{List: c.list, Transact: c.transact}
}

func (c *client) list(x context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []rowMessage
	q := listQuery{Prefix: prefix, After: after, Limit: limit}
	if err := c.get(x, "list rows", c.base.New().Get("table/rows").QueryStruct(q), &rows); err != nil {
		return nil, err
	}
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = Row{Key: r.Key, Value: r.Value, Version: RowVersion(r.Version)}
	}
	return out, nil
}

func (c *client) transact(x context.Context, t Transaction) error {
	m := transactionMessage{Deletes: t.Deletes}
	for _, v := range t.Conditions {
		m.Conditions = append(m.Conditions, conditionMessage{Key: v.Key, Version: int64(v.Version)})
	}
	for _, v := range t.Puts {
		m.Puts = append(m.Puts, putMessage(v))
	}
	status, _, err := c.do(x, c.base.New().Post("table/transact").BodyJSON(m), maxResponseBytes)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return ErrConflict
	case status != http.StatusOK:
		return eris.Wrapf(ErrUnavailable, "transact: status %d", status)
	}
	return nil
}

// Get returns one row. The version is 0 if the row does not exist.
func (t *Table) Get(c context.Context, key string) (Row, error) {
	rows, err := t.List(c, key, "", 1)
	if err != nil {
		return Row{}, err
	}
	if len(rows) == 0 || rows[0].Key != key {
		return Row{Key: key}, nil
	}
	return rows[0], nil
}
