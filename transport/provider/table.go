// Package provider holds clients of the platform's services: the transactional
// table service, the object store and the directory of instances.
package provider

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"
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
	return &client{http: &http.Client{Transport: t}, base: sling.New().Base("http://" + address + "/"), timeout: timeout}
}

// do sends a request with a context, which sling does not support itself, and decodes a
// successful response into success. It returns the HTTP status.
func (c *client) do(x context.Context, s *sling.Sling, success any) (int, error) {
	x, cancel := context.WithTimeout(x, c.timeout)
	defer cancel()
	r, err := s.Request()
	if err != nil {
		return 0, eris.Wrap(err, "build platform request")
	}
	answer, err := s.Client(c.http).Do(r.WithContext(x), success, nil)
	if err != nil {
		return 0, eris.Wrap(ErrUnavailable, err.Error())
	}
	return answer.StatusCode, nil
}

// NewTable returns a client of the table service at an IP address and port.
func NewTable(address string, timeout time.Duration) *Table {
	c := newClient(address, timeout)
	return &Table{List: c.list, Transact: c.transact}
}

func (c *client) list(x context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []rowMessage
	q := listQuery{Prefix: prefix, After: after, Limit: limit}
	status, err := c.do(x, c.base.New().Get("table/rows").QueryStruct(q), &rows)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, eris.Wrapf(ErrUnavailable, "list rows: status %d", status)
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
	status, err := c.do(x, c.base.New().Post("table/transact").BodyJSON(m), nil)
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
