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
	// store has listed it again. Only time in which the store is read counts. The platform removes
	// the entries of dead upstreams sooner.
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

// withheldUpstream is an upstream that was removed, and that a copy of the store lists.
type withheldUpstream struct {
	pool.Upstream
	settled time.Duration // part of withholdTime that is over
}

// withhold keeps an upstream that was removed, and that a copy of the store lists, from the pool
// until its entry changes or the store has been read for withholdTime. The process that has
// replaced it stays listed. The caller holds mu.
func (l *UpstreamList) withhold(key string, u pool.Upstream) {
	l.withheld[key] = withheldUpstream{Upstream: u}
	l.log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service, "address": u.Address}).Info("upstream that was gone is listed in a copy of the store; withheld")
}

// settleWithheld counts the time since the update before, and lists the upstreams whose entries have
// stayed for withholdTime. It begins again after a return. It reports whether the list has changed. The
// caller holds mu.
func (l *UpstreamList) settleWithheld(sinceRead time.Duration, returned bool) (changed bool) {
	for key, w := range l.withheld {
		w.settled += min(sinceRead, time.Duration(maxSettledShare*float64(withholdTime)))
		if returned {
			w.settled = 0
		}
		l.withheld[key] = w
		if w.settled >= withholdTime {
			l.release(key, w.Upstream)
			changed = true
		}
	}
	return changed
}

func (l *UpstreamList) release(key string, u pool.Upstream) {
	delete(l.withheld, key)
	delete(l.removed, processOf(u))
	l.upstreams[key] = u
	l.log.WithField("upstream", u.ID).Info("withheld upstream is still listed")
}
