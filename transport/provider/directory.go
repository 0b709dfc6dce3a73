package provider

import (
	"context"
	"time"
)

// Kinds of instances in the directory.
const (
	KindEntry    = "entry"
	KindUpstream = "upstream"
)

// StateLeaving is the state of an instance that the platform is about to stop.
const StateLeaving = "leaving"

// Instance is an entry of the platform's directory. The directory lags behind.
type Instance struct {
	ID      string
	Kind    string
	Pool    string
	Zone    string
	Address string
	// Mesh is the address for other instances. Only instances of KindEntry have one.
	Mesh  string
	State string
}

// Leaving reports whether the platform is about to stop the instance.
func (l Instance) Leaving() bool {
	return l.State == StateLeaving
}

// Directory is a client of the platform's directory, which lists live and leaving
// instances. The function field can be replaced in tests.
type Directory struct {
	// List returns all instances in the directory. It fails with ErrUnavailable.
	List func(c context.Context) ([]Instance, error)
}

type instanceMessage struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Mesh    string `json:"mesh"`
	State   string `json:"state"`
}

// NewDirectory returns a client of the directory at an IP address and port.
func NewDirectory(address string, timeout time.Duration) *Directory {
	c := newClient(address, timeout)
	return &Directory{List: c.listInstances}
}

func (c *client) listInstances(x context.Context) ([]Instance, error) {
	var all []instanceMessage
	if err := c.get(x, "list instances", c.base.New().Get("directory/instances"), &all); err != nil {
		return nil, err
	}
	out := make([]Instance, len(all))
	for i, m := range all {
		out[i] = Instance(m)
	}
	return out, nil
}
