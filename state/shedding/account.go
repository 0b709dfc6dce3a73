package shedding

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Account counts what an instance holds for clients and upstreams. It is safe for concurrent use.
type Account struct {
	// now returns the time. It is asked only while something is short.
	now    func() time.Duration
	mu     sync.Mutex
	limits Limits
	held   [useCount]Bytes
	open   [doorCount]map[*Connection]bool
	// freed is closed as memory becomes free. It is nil while nobody waits.
	freed  chan struct{}
	counts Counts
	// changes counts the changes of phases.
	changes int64
}

// Yielded is how connections yielded.
type Yielded struct {
	Door  Door
	Phase Phase
}

// Counts are what has been refused or has yielded since the start.
type Counts struct {
	// Refused counts the connections that were refused, by door.
	Refused [doorCount]int64
	// Yielded counts the connections that yielded.
	Yielded map[Yielded]int64
	// Short counts the bodies that found no memory, by use.
	Short [useCount]int64
}

// New returns an account that holds nothing. Now returns the time since any start.
func New(l Limits, now func() time.Duration) *Account {
	a := &Account{limits: l, now: now, counts: Counts{Yielded: map[Yielded]int64{}}}
	for d := range a.open {
		a.open[d] = map[*Connection]bool{}
	}
	return a
}

// SetLimits replaces the limits. What is held stays.
func (a *Account) SetLimits(l Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = l
	a.notify()
}

// Limits returns the limits in force.
func (a *Account) Limits() Limits {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits
}

// Connection is an open connection of a client.
type Connection struct {
	account *Account
	door    Door
	// onYield ends the connection at once, or just the request that is being read from it.
	onYield func(whole bool)
	// received counts the bytes that were read, writes the writes that have begun and ended: it is odd within one.
	received, writes atomic.Int64

	// The account guards the rest.
	phase    Phase
	yielding bool
	held     Bytes
	// order is the number of the last change of the phase.
	order int64
	// seen is set once the connection has been sampled in its phase, for the first time at firstSeen.
	seen      bool
	firstSeen time.Duration
	// sampledAt, sampledReceived and sampledWrites are of the last sample.
	sampledAt       time.Duration
	sampledReceived int64
	sampledWrites   int64
}

// Open admits a new connection at a door. If there are too many, another one yields, or the new one is refused.
// OnYield is called at most once. If whole is set it has to close the connection, otherwise to end the request that is
// being read from it.
func (a *Account) Open(d Door, onYield func(whole bool)) (*Connection, bool) {
	k := &Connection{account: a, door: d, onYield: onYield}
	yields, ok := a.add(k)
	if yields != nil {
		yields.onYield(true)
	}
	return k, ok
}

// add adds a connection, and returns the one that has to close for it.
func (a *Account) add(k *Connection) (yields *Connection, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.open[k.door]) >= a.limits.Connections[k.door] {
		l, p := a.progress(k.door)
		i, ok := yieldConnection(p)
		if !ok {
			a.counts.Refused[k.door]++
			return nil, false
		}
		yields = l[i]
		a.yield(yields)
		delete(a.open[k.door], yields)
	}
	a.changes++
	k.order = a.changes
	a.open[k.door][k] = true
	return yields, true
}

// YieldIdle closes a connection of a door that may yield, and reports whether there is one.
func (a *Account) YieldIdle(d Door) bool {
	a.mu.Lock()
	l, p := a.progress(d)
	i, ok := yieldConnection(p)
	if ok {
		a.yield(l[i])
		delete(a.open[d], l[i])
	}
	a.mu.Unlock()
	if ok {
		l[i].onYield(true)
	}
	return ok
}

// Close removes a connection.
func (k *Connection) Close() {
	k.account.mu.Lock()
	defer k.account.mu.Unlock()
	delete(k.account.open[k.door], k)
}

// SetPhase states what a connection is used for from now on. It reports whether the connection may be used so: one that
// has yielded is closed, or will be.
func (k *Connection) SetPhase(p Phase) bool {
	k.account.mu.Lock()
	defer k.account.mu.Unlock()
	if k.phase != p {
		k.account.changes++
		k.phase, k.order, k.seen = p, k.account.changes, false
	}
	return !k.yielding
}

// CountReceived counts data that was read.
func (k *Connection) CountReceived(n int) { k.received.Add(int64(n)) }

// BeginWrite and EndWrite enclose a write.
func (k *Connection) BeginWrite() { k.writes.Add(1) }

// EndWrite ends what BeginWrite began.
func (k *Connection) EndWrite() { k.writes.Add(1) }

func (k *Connection) sample(now time.Duration) {
	k.sampledAt, k.sampledReceived, k.sampledWrites = now, k.received.Load(), k.writes.Load()
}

// progress returns the connections of a door that are not yielding, and samples them.
func (a *Account) progress(d Door) (l []*Connection, p []Progress) {
	now := a.now()
	for k := range a.open[d] {
		if k.yielding {
			continue
		}
		if !k.seen {
			k.seen, k.firstSeen = true, now
			k.sample(now)
		}
		writes := k.writes.Load()
		l = append(l, k)
		p = append(p, Progress{
			Phase: k.phase, Order: k.order, Observed: now - k.firstSeen, Judged: now - k.sampledAt, Received: Bytes(k.received.Load() - k.sampledReceived),
			Blocked: writes%2 == 1 && writes == k.sampledWrites, Held: k.held,
		})
		if now-k.sampledAt >= 2*sampleTime {
			k.sample(now)
		}
	}
	return l, p
}

func (a *Account) yield(k *Connection) {
	k.yielding = true
	a.counts.Yielded[Yielded{k.door, k.phase}]++
}

// Claim is memory that is held for one use, and for one connection if that is known.
type Claim struct {
	account    *Account
	use        Use
	connection *Connection
	taken      Bytes
}

// Claim returns a claim of no memory. The connection may be nil.
func (a *Account) Claim(u Use, k *Connection) *Claim {
	return &Claim{account: a, use: u, connection: k}
}

// Grow takes more memory for a claim, if there is enough. Otherwise connections that keep the instance waiting yield,
// and Grow returns a channel that is closed as memory becomes free.
func (x *Claim) Grow(more Bytes) (ok bool, freed <-chan struct{}) {
	a := x.account
	a.mu.Lock()
	if a.limits.admits(a.held, x.use, x.taken, more) {
		x.take(more)
		a.mu.Unlock()
		return true, nil
	}
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	freed = a.freed
	l, p := a.progress(Callers)
	var yields []*Connection
	var whole []bool
	for _, i := range yieldMemory(p, more) {
		yields, whole = append(yields, l[i]), append(whole, l[i].phase != Receiving)
		a.yield(l[i])
	}
	a.mu.Unlock()
	for i, k := range yields {
		k.onYield(whole[i])
	}
	return false, freed
}

// CountShort counts a claim that found no memory.
func (x *Claim) CountShort() {
	x.account.mu.Lock()
	defer x.account.mu.Unlock()
	x.account.counts.Short[x.use]++
}

// take adds to what is held. The account is locked.
func (x *Claim) take(n Bytes) {
	x.taken += n
	x.account.held[x.use] += n
	if x.connection != nil {
		x.connection.held += n
	}
}

// ShrinkTo gives back what a claim has taken beyond n bytes.
func (x *Claim) ShrinkTo(n Bytes) {
	x.account.mu.Lock()
	defer x.account.mu.Unlock()
	if less := x.taken - n; less > 0 {
		x.take(-less)
		x.account.notify()
	}
}

// Taken returns what a claim has taken.
func (x *Claim) Taken() Bytes {
	x.account.mu.Lock()
	defer x.account.mu.Unlock()
	return x.taken
}

// notify wakes those that wait for memory. The account is locked.
func (a *Account) notify() {
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// Status is what an account holds.
type Status struct {
	Limits Limits
	Held   [useCount]Bytes
	Open   [doorCount]int
	Counts Counts
}

// Status returns what is held now.
func (a *Account) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Status{Limits: a.limits, Held: a.held, Counts: a.counts}
	s.Counts.Yielded = maps.Clone(a.counts.Yielded)
	for d, l := range a.open {
		s.Open[d] = len(l)
	}
	return s
}

// Uses returns all uses of memory.
func Uses() []Use { return []Use{Requests, Responses, Forwarding} }

// Doors returns all doors.
func Doors() []Door { return []Door{Callers, Lookups, Checks, Operators, Peers} }
