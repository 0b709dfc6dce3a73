package provider

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kinds of listed instances.
const (
	KindEntry    = "entry"
	KindUpstream = "upstream"
)

// StateLeaving is the state of an instance that is about to end.
const StateLeaving = "leaving"

// Instance is one entry of the platform's list of instances. The list lags.
type Instance struct {
	ID      string
	Kind    string
	Pool    string
	Zone    string
	Address string
	// Mesh is the address for other instances, set for entry instances.
	Mesh  string
	State string
}

// Leaving reports whether the platform is about to end the instance.
func (l Instance) Leaving() bool {
	return l.State == StateLeaving
}

// Directory is the platform's list of live and leaving instances. The
// function field is a seam for tests.
type Directory struct {
	// List returns every listed instance. It fails with ErrUnavailable.
	List func(c context.Context) ([]Instance, error)
}

type listedMessage struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Mesh    string `json:"mesh"`
	State   string `json:"state"`
}

// NewDirectory returns the list of instances at an IP number and port.
func NewDirectory(address string, timeout time.Duration) *Directory {
	c := newClient(address, timeout)
	return &Directory{List: c.listInstances}
}

func (c *client) listInstances(x context.Context) ([]Instance, error) {
	var all []listedMessage
	status, err := c.do(x, c.base.New().Get("directory/instances"), &all)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, eris.Wrapf(ErrUnavailable, "list instances: status %d", status)
	}
	out := make([]Instance, len(all))
	for i, m := range all {
		out[i] = Instance(m)
	}
	return out, nil
}
