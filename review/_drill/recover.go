package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// The figures of the drill recover: the bound of the pages, the time for which processes are down after the
// final fault of a standard day, and the adapters of a deployment.
const (
	recoverTime  = 12 * time.Second
	downTime     = 1300 * time.Millisecond
	judgedTime   = 3 * time.Second
	beforeTime   = 6 * time.Second
	allAdapters  = 3000
	adapterSkew  = 0.5
	requestsPerS = 10
)

// popularity draws adapters: a few get many of the requests.
type popularity struct{ sums []float64 }

func newPopularity() *popularity {
	p := &popularity{}
	sum := 0.0
	for n := 1; n <= allAdapters; n++ {
		sum += math.Pow(float64(n), -adapterSkew)
		p.sums = append(p.sums, sum)
	}
	return p
}

func (p *popularity) draw() string {
	x := rand.Float64() * p.sums[len(p.sums)-1]
	return fmt.Sprintf("a%d", sort.SearchFloat64s(p.sums, x)+1)
}

// tally counts the requests of a time.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent, t.served = t.sent+sent, t.served+served
}

func (t *tally) counts() (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent, t.served
}

// owners returns the owners of the claims in the store, one for each engine.
func (s *store) owners() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, x := range s.rows {
		if id.table == "fleet" && strings.HasPrefix(id.key, "claim.") && !x.Tombstone {
			out = append(out, decode64(x.Value))
		}
	}
	return out
}

// runRecover plays the end of all processes at the same moment, after which one machine does not come back.
func runRecover(k *record, folder string, trouble bool) (broken bool, err error) {
	dep, err := readDeployment()
	if err != nil {
		return false, err
	}
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(l, s) }()
	for n := range 2 {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		e := newEngine(fmt.Sprintf("i-%08x", 300+n), x.Addr().String(), modelName, k)
		go func() { _ = http.Serve(x, e) }()
		go beat(c, s, e.id, e.row)
	}
	s.put("op", "config", chatConfig(3, 4000))
	d := newChat(k)
	var fleet []*instance
	defer func() {
		for _, i := range fleet {
			i.stop()
		}
	}()
	for n := range 2 {
		i, err := newInstance(dep, folder, fmt.Sprintf("front-%d", n+1), "zone-a", fmt.Sprintf("127.0.79.%d", n+1), l.Addr().String(), k)
		if err != nil {
			return false, err
		}
		fleet = append(fleet, i)
		if err := i.start(); err != nil {
			return false, err
		}
		if err := awaitReady(fleet); err != nil {
			return false, err
		}
		// The second machine is added later.
		time.Sleep(4 * time.Second)
	}
	k.add("owners of the engines: %v", s.owners())
	p := newPopularity()
	before, after := &tally{}, &tally{}
	send := func(c context.Context, to []*instance, t *tally) {
		tick := time.NewTicker(time.Second / requestsPerS)
		defer tick.Stop()
		for {
			select {
			case <-c.Done():
				return
			case <-tick.C:
				go func() {
					t.add(1, 0)
					if d.send(to[rand.IntN(len(to))], p.draw()) {
						t.add(0, 1)
					}
				}()
			}
		}
	}
	x, stop := context.WithTimeout(c, beforeTime)
	send(x, fleet, before)
	stop()
	time.Sleep(2 * time.Second)
	left := fleet
	if trouble {
		s.put("op", "config", chatConfig(4, 4000))
		k.add("a configuration is acknowledged, and all processes are killed; %s is lost for good", fleet[0].name)
		var w sync.WaitGroup
		for _, i := range fleet {
			w.Go(i.kill)
		}
		w.Wait()
		time.Sleep(downTime)
		left = fleet[1:]
		if err := left[0].start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	if err := awaitReady(left); err != nil {
		return false, err
	}
	k.add("the machines are back, and ready after %.3f s", time.Since(back).Seconds())
	x, stop = context.WithTimeout(c, time.Until(back.Add(recoverTime)))
	send(x, left, &tally{})
	stop()
	k.add("%v after the machines are back", recoverTime)
	x, stop = context.WithTimeout(c, judgedTime)
	send(x, left, after)
	stop()
	time.Sleep(4 * time.Second)
	sent, served := before.counts()
	sentAfter, servedAfter := after.counts()
	k.add("served before the fault: %d of %d; of the requests sent later than %v after the machines are back: %d of %d, a quarter is the least", served, sent, recoverTime, servedAfter, sentAfter)
	if served*4 < sent {
		return false, errors.New("less than a quarter was served before the fault")
	}
	return servedAfter*4 < sentAfter, nil
}
