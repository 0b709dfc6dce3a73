package provider

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const maxObjectBytes = 256 << 20

// Objects is a client of the object store. The function fields can be replaced in
// tests.
type Objects struct {
	// Put stores an object. It fails with ErrUnavailable.
	Put func(c context.Context, name string, data []byte) error
	// Get returns an object. It fails with ErrNotFound or ErrUnavailable.
	Get func(c context.Context, name string) ([]byte, error)
}

// NewObjects returns a client of the object store at an IP address and port.
func NewObjects(address string, timeout time.Duration) *Objects {
	c := newClient(address, timeout)
	return &Objects{Put: c.putObject, Get: c.getObject}
}

func (c *client) putObject(x context.Context, name string, data []byte) error {
	status, _, err := c.do(x, c.base.New().Put("objects/"+name).Body(bytes.NewReader(data)), maxResponseBytes)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Wrapf(ErrUnavailable, "put object %s: status %d", name, status)
	}
	return nil
}

func (c *client) getObject(x context.Context, name string) ([]byte, error) {
	status, data, err := c.do(x, c.base.New().Get("objects/"+name), maxObjectBytes)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, ErrNotFound
	case status != http.StatusOK:
		return nil, eris.Wrapf(ErrUnavailable, "get object %s: status %d", name, status)
	}
	return data, nil
}
