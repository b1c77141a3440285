package workspace

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// Defaults of configuration.Workspace.
const (
	defaultRequestsPerSecond     = 100.0
	defaultConcurrentGenerations = 100
	defaultWeight                = 1.0
)

// limits are the limits of a workspace across all instances.
type limits struct {
	rate   float64 // requests per second
	slots  int     // concurrent generations
	weight float64
}

func limitsOf(w configuration.Workspace) limits {
	l := limits{rate: w.RequestsPerSecond, slots: w.ConcurrentGenerations, weight: w.Weight}
	if l.rate <= 0 {
		l.rate = defaultRequestsPerSecond
	}
	if l.slots <= 0 {
		l.slots = defaultConcurrentGenerations
	}
	if l.weight <= 0 {
		l.weight = defaultWeight
	}
	return l
}

// equalShare is the share of an instance that has no reports of the other
// instances' demand yet, or whose own demand is not reported yet.
func (l limits) equalShare(instances int) (rateShare float64, slots int) {
	n := max(1, instances)
	return l.rate / float64(n), max(1, l.slots/n)
}

// state is the usage and granted share of one workspace at this instance.
// Requests use its atomic fields and the limiter, whose own lock is held only
// briefly.
type state struct {
	id                   contract.WorkspaceID
	limiter              *rate.Limiter // requests per second, limited to this instance's share
	slots                atomic.Int64  // concurrent generations in this instance's share
	running              atomic.Int64  // generations admitted
	waiting              atomic.Int64  // generations in the queue
	requestsSinceRefresh atomic.Int64
	refusedSinceRefresh  atomic.Int64 // generations

	// The fields below are accessed by the refresh of demand with Admission.mu held.

	rate         float64       // smoothed requests per second
	concurrent   float64       // smoothed number of concurrent generations needed
	activeSince  time.Time     // zero if there is no demand
	endedAt      time.Time     // when the demand ended
	recentShares []shareTarget // computed by the last refreshes, newest last

	reportedRate       float64   // rate as reported to other instances
	reportedConcurrent float64   // concurrent as reported to other instances
	reportedAt         time.Time // when one of them last changed
}

func newState(id contract.WorkspaceID, l limits, instances int) *state {
	rateShare, slots := l.equalShare(instances)
	s := &state{id: id, limiter: rate.NewLimiter(rate.Limit(rateShare), burstSize(rateShare))}
	s.slots.Store(int64(slots))
	return s
}

// shareTarget is the share that one refresh computed.
type shareTarget struct {
	rate  float64
	slots int
}

// burstSize is the capacity of the token bucket: the requests of one second,
// and at least one, since otherwise no request could pass.
func burstSize(perSecond float64) int { return max(1, int(perSecond)) }

func (s *state) setShare(perSecond float64, slots int) {
	s.limiter.SetLimit(rate.Limit(perSecond))
	s.limiter.SetBurst(burstSize(perSecond))
	s.slots.Store(int64(slots))
}

// acquire takes a slot for a generation if the share has a free one.
func (s *state) acquire() bool {
	for {
		n := s.running.Load()
		if n >= s.slots.Load() {
			return false
		}
		if s.running.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (s *state) hasFreeSlot() bool { return s.running.Load() < s.slots.Load() }
