package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case lost. Six engines of two software versions have room for lostSlots streams each, of about 4 s.
// The streams of one adapter, which are planned for v1, take all of its room and begin at v1.1, too, which has room.
const (
	lostSlots    = 64
	lostRate     = 52
	loadBefore   = 9 * time.Second
	crashedFor   = 4500 * time.Millisecond
	leastTakenUp = 12
)

// visit is a stream as its client receives it, with one retry.
type visit struct {
	stream
	sent time.Time
	// broke is set once the stream has broken off after an event, and again the number of events at that point.
	broke time.Time
	again int
}

func (v *visit) count() int {
	n := 0
	for _, x := range v.events {
		n += x
	}
	return n
}

// receiveVisit receives a stream, and takes it up or tries it again once.
func (s *scene) receiveVisit(v *visit, all []*machine, at int, adapter string) {
	const deadline = 15 * time.Second
	v.sent = time.Now()
	for try := range 2 {
		id := v.id
		if try > 0 {
			id += "-again"
		}
		m := all[(at+try)%len(all)]
		status, wait, err := s.readEvents(&v.stream, m, id, adapter, deadline-time.Since(v.sent))
		s.note("client of %s at %s: status %d, last event %s, error %v", id, m.name, status, v.last, err)
		if status == http.StatusOK && err == nil {
			return
		}
		if try == 0 && v.last != "" {
			v.broke, v.again = time.Now(), v.count()
		}
		if try == 0 {
			time.Sleep(min(wait, (deadline-time.Since(v.sent))/3))
		}
	}
}

// lost plays the crash of an engine while all engines of its software version are full and those of another one
// have room.
func lost(s *scene) (int, error) {
	s.putStreamConfig(lostSlots)
	var engines []*replica
	for i := range 6 {
		r := s.newEngine(fmt.Sprintf("e%d", i+1), i, []string{"v1", "v1.1"}[i/3])
		r.slots, r.queue, r.pieces, r.piece = lostSlots, 24, 40, 100*time.Millisecond
		if err := r.start(); err != nil {
			return failed, err
		}
		engines = append(engines, r)
	}
	all, err := newMachines(3, s.folder, s.store.address, nil)
	if err != nil {
		return failed, err
	}
	for _, m := range all {
		defer m.kill()
		if err := m.start(); err != nil {
			return failed, err
		}
	}
	if err := awaitReady(all); err != nil {
		return failed, err
	}
	time.Sleep(settled)
	adapter, err := s.findAdapter(all[1])
	if err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	var w sync.WaitGroup
	var visits []*visit
	began, crashed := time.Now(), time.Time{}
	for i := 0; time.Since(began) < loadBefore+crashedFor; i++ {
		if crashed.IsZero() && time.Since(began) > loadBefore {
			crashed = time.Now()
			if s.trouble {
				s.note("%s crashes", engines[0].id)
				engines[0].crash()
				time.AfterFunc(crashedFor, func() { s.restartEngine(engines[0]) })
			}
		}
		v := &visit{stream: stream{id: fmt.Sprintf("s%d", i), events: map[string]int{}, prompt: 600, output: 120}}
		visits = append(visits, v)
		w.Go(func() { s.receiveVisit(v, all, i, adapter) })
		time.Sleep(time.Second / lostRate)
	}
	w.Wait()
	var takenUp, wentOn, fresh, begun int
	for _, v := range visits {
		switch {
		case v.broke.After(crashed):
			takenUp++
			if v.count() > v.again {
				wentOn++
			}
		case v.sent.After(crashed):
			fresh++
			if v.count() > 0 {
				begun++
			}
		}
	}
	s.note("of %d streams that clients took up again, %d went on; of %d new ones %d began", takenUp, wentOn, fresh, begun)
	if takenUp >= leastTakenUp && float64(wentOn)/float64(takenUp) < float64(begun)/float64(fresh)/2 {
		return broken, nil
	}
	return held, nil
}

// restartEngine starts an engine that has crashed as a new replica, which is empty.
func (s *scene) restartEngine(old *replica) {
	r := s.newEngine(old.id+"-again", 0, old.software)
	r.zone, r.slots, r.queue, r.pieces, r.piece, r.empty, r.adapters = old.zone, old.slots, old.queue, old.pieces, old.piece, true, nil
	err := r.start()
	s.note("%s is back as %s: %v", old.id, r.id, err)
}

func init() { cases["lost"] = lost }
