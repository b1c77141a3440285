package discovery

import (
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// removedRetention is how long a removed upstream is remembered, and maxRemoved bounds the
	// number of those.
	removedRetention = 10 * time.Minute
	maxRemoved       = 10_000
	// withholdTime is how long an upstream that was removed gets no requests after a copy of the
	// store has listed it again. The platform removes the entries of dead upstreams sooner.
	withholdTime = 6 * time.Second
)

// process identifies one process of an upstream.
type process struct {
	id, service, address string
	startedAt            int64
}

func processOf(u pool.Upstream) process {
	return process{id: u.ID, service: u.Service, address: u.Address, startedAt: u.StartedAt}
}

func sameProcess(a, b pool.Upstream) bool { return processOf(a) == processOf(b) }

// removedUpstreams holds when the entries of processes were removed, or replaced by those of others.
type removedUpstreams map[process]time.Time

func (r removedUpstreams) add(now time.Time, u pool.Upstream) {
	for key, at := range r {
		if now.Sub(at) >= removedRetention {
			delete(r, key)
		}
	}
	if len(r) < maxRemoved {
		r[processOf(u)] = now
	}
}

func (r removedUpstreams) has(now time.Time, u pool.Upstream) bool {
	at, known := r[processOf(u)]
	return known && now.Sub(at) < removedRetention
}

// withhold keeps an upstream that was removed, and that a copy of the store lists, from the pool
// until its entry changes or withholdTime is over. The process that has replaced it stays
// listed. The caller holds mu.
func (l *UpstreamList) withhold(key string, u pool.Upstream) {
	l.withheld[key] = u
	l.log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service, "address": u.Address}).Info("upstream that was gone is listed in a copy of the store; withheld")
	time.AfterFunc(withholdTime, func() { l.release(key, u) })
}

// release lists an upstream whose entry is still the one that was withheld.
func (l *UpstreamList) release(key string, u pool.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current, withheld := l.withheld[key]; !withheld || current != u {
		return
	}
	delete(l.withheld, key)
	delete(l.removed, processOf(u))
	l.upstreams[key] = u
	l.log.WithField("upstream", u.ID).Info("withheld upstream is still listed")
	l.publish()
}
