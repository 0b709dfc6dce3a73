package streams

import (
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/route"
)

// Configure sets, by the configuration in force, how long after their begin the streams of each service may be taken
// up. Services without such streams are left out.
func (r *Registry) Configure(lifetimes map[route.ServiceName]time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range lifetimes {
		r.split(s)
	}
	now := r.Timer.Boot()
	for s, x := range r.splits {
		before := x.lifetime.At(now)
		x.lifetime.Configure(lifetimes[s], now)
		if d := x.lifetime.At(now); d > lifetimes[s] || d != before {
			r.Log.Info("streams of a service may be taken up", zap.String("service", string(s)), zap.Duration("configured", lifetimes[s]), zap.Duration("for", d))
		}
	}
}

// lifetime returns how long after their begin streams of a service may be taken up. The caller holds the lock.
func (r *Registry) lifetime(s route.ServiceName, now time.Duration) time.Duration {
	return r.split(s).lifetime.At(now)
}

// retention is the longest time for which a stream may be taken up after its begin. The caller holds the lock.
func (r *Registry) retention(now time.Duration) time.Duration {
	var d time.Duration
	for s := range r.splits {
		d = max(d, r.lifetime(s, now))
	}
	return d
}

// Retention is the longest time for which a stream may be taken up after its begin.
func (r *Registry) Retention() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retention(r.Timer.Boot())
}

// settleTime is the time after which all streams that may be taken up began under an assignment. The caller holds the
// lock.
func (r *Registry) settleTime(s route.ServiceName, now time.Duration) time.Duration {
	return learnTime + r.lifetime(s, now)
}

// dropStreams drops the streams that can be taken up no more.
func (r *Registry) dropStreams(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.splits {
		r.begun.Drop(string(s), now-r.settleTime(s, now))
	}
}

// lasting returns the services with streams that may be taken up.
func (r *Registry) lasting(now time.Duration) (out []route.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.splits {
		if r.lifetime(s, now) > 0 {
			out = append(out, s)
		}
	}
	return out
}
