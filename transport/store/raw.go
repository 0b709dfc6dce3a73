package store

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/mirror"
)

// Page is a part of the rows of a table, or those that have changed.
type Page struct {
	Rows []mirror.Row
	// Version is the version as of which they are complete.
	Version mirror.Version
	// More is set if there are further rows after these.
	More bool
}

// Raw has the calls of a store as it answers them: versions are values of its counter alone, and
// each answer is of an era, which is 0 if there was no answer or if it states none.
type Raw struct {
	Transact func(c context.Context, t Transaction) (Result, mirror.Era, error)
	// ReadPage returns rows of a table, those with keys above after.
	ReadPage func(c context.Context, table, after string) (Page, mirror.Era, error)
	// Watch is Store.Watch.
	Watch func(c context.Context, table string, after mirror.Version) (Page, mirror.Era, error)
}

// New returns a store whose versions have the era of the answer that they are from. It records each
// era in eras.
func New(eras *Eras, r Raw) *Store {
	k := &client{Raw: r, eras: eras, outages: &Outages{}}
	return &Store{Eras: eras, Outages: k.outages, Transact: k.transact, Read: k.read, Watch: k.watch}
}

type client struct {
	Raw
	eras    *Eras
	outages *Outages
	// stated holds the newest era that the store itself has stated to this client.
	stated Eras
}

// observe records the era of an answer, and returns it. An answer that states none is of the newest
// one known so far.
func (k *client) observe(e mirror.Era, err error) mirror.Era {
	if e == 0 {
		if err != nil {
			return 0
		}
		e = k.stated.Current()
	}
	k.stated.Observe(e)
	k.eras.Observe(e)
	return e
}

// record records the outcome of a call. One that its caller gave up, or that the store rejected, tells nothing.
func (k *client) record(c context.Context, err error) {
	switch {
	case err == nil || errors.Is(err, ErrCompacted):
		k.outages.Record(true)
	case errors.Is(err, ErrUnavailable) && !errors.Is(c.Err(), context.Canceled):
		k.outages.Record(false)
	}
}

func (k *client) transact(c context.Context, t Transaction) (Result, error) {
	known, before := k.eras.Known(), k.eras.Current()
	if k.stated.Known() {
		if err := t.CheckEra(k.stated.Current()); err != nil {
			return Result{}, err
		}
	}
	raw := t
	raw.Expected = make(map[Key]mirror.Version, len(t.Expected))
	for n, v := range t.Expected {
		raw.Expected[n] = mirror.Version(v.Counter())
	}
	r, e, err := k.Transact(c, raw)
	k.record(c, err)
	if e = k.observe(e, err); err != nil {
		return Result{}, err
	}
	if len(t.Expected) > 0 && known && e != before {
		// The versions of the conditions may have been given out again.
		return Result{}, eris.Wrapf(ErrRestored, "conditions of era %d, answer of era %d", before, e)
	}
	if err := t.CheckEra(e); err != nil {
		return Result{}, err
	}
	r.Version = withEra(e, r.Version)
	for n, x := range r.Current {
		x.Version = withEra(e, x.Version)
		r.Current[n] = x
	}
	return r, nil
}

// withEra returns the version with an era and a counter. Version 0 remains as it is.
func withEra(e mirror.Era, counter mirror.Version) mirror.Version {
	if counter == 0 {
		return 0
	}
	return mirror.NewVersion(e, int64(counter))
}

func rowsWithEra(e mirror.Era, rows []mirror.Row) []mirror.Row {
	for i := range rows {
		rows[i].Version = withEra(e, rows[i].Version)
	}
	return rows
}

// read returns the rows of all pages as of the version of the first one. Changes made between the
// pages arrive again through a watch from that version.
func (k *client) read(c context.Context, table string) ([]mirror.Row, mirror.Version, error) {
	var rows []mirror.Row
	var asOf mirror.Version
	after := ""
	for {
		p, e, err := k.ReadPage(c, table, after)
		k.record(c, err)
		if e = k.observe(e, err); err != nil {
			return nil, 0, err
		}
		switch {
		case after == "":
			asOf = mirror.NewVersion(e, int64(p.Version))
		case e != asOf.Era():
			return nil, 0, eris.Wrap(ErrRestored, "between two pages")
		}
		rows = append(rows, rowsWithEra(e, p.Rows)...)
		if !p.More || len(p.Rows) == 0 {
			return rows, asOf, nil
		}
		after = p.Rows[len(p.Rows)-1].Key
	}
}

func (k *client) watch(c context.Context, table string, after mirror.Version) ([]mirror.Row, mirror.Version, error) {
	if x := k.stated.Current(); x > after.Era() {
		return nil, 0, eris.Wrapf(ErrRestored, "after a version of era %d in era %d", after.Era(), x)
	}
	p, e, err := k.Watch(c, table, mirror.Version(after.Counter()))
	k.record(c, err)
	if e = k.observe(e, err); err != nil {
		return nil, 0, err
	}
	if e != after.Era() {
		return nil, 0, eris.Wrapf(ErrRestored, "after a version of era %d in era %d", after.Era(), e)
	}
	return rowsWithEra(e, p.Rows), mirror.NewVersion(e, int64(p.Version)), nil
}
