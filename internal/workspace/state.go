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

// limits are the limits of a workspace over all instances.
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

// equalShare is the part of the limits for an instance that does not know the
// others' demand yet, or whose demand the others do not know yet.
func (l limits) equalShare(instances int) (rateShare float64, slots int) {
	n := max(1, instances)
	return l.rate / float64(n), max(1, l.slots/n)
}

// state is what this instance knows and grants of one workspace. Requests use
// its atomic fields and the limiter, whose own lock is short.
type state struct {
	id                   contract.WorkspaceID
	limiter              *rate.Limiter // requests per second, by this instance's share
	slots                atomic.Int64  // concurrent generations, by this instance's share
	running              atomic.Int64  // generations admitted
	waiting              atomic.Int64  // generations in the queue
	requestsSinceRefresh atomic.Int64  // requests since the last refresh
	refusedSinceRefresh  atomic.Int64  // generations refused since the last refresh

	// The fields below belong to the refresh of the demand, under its lock.

	rate         float64       // smoothed requests per second
	concurrent   float64       // smoothed generations wanted at a time
	activeSince  time.Time     // zero without a demand
	endedAt      time.Time     // when the demand ended
	recentShares []shareTarget // shares of the last refreshes, newest last

	reportedRate       float64   // what the others are told of rate
	reportedConcurrent float64   // what the others are told of concurrent
	reportedAt         time.Time // when one of them last changed
}

func newState(id contract.WorkspaceID, l limits, instances int) *state {
	rateShare, slots := l.equalShare(instances)
	s := &state{id: id, limiter: rate.NewLimiter(rate.Limit(rateShare), burstSize(rateShare))}
	s.slots.Store(int64(slots))
	return s
}

// shareTarget is the share that an instance should have by one refresh.
type shareTarget struct {
	rate  float64
	slots int
}

// burstSize is the size of the token bucket: the requests of one second, and at
// least one, without which no request would ever pass.
func burstSize(perSecond float64) int { return max(1, int(perSecond)) }

// setShare puts a new share in force.
func (s *state) setShare(perSecond float64, slots int) {
	s.limiter.SetLimit(rate.Limit(perSecond))
	s.limiter.SetBurst(burstSize(perSecond))
	s.slots.Store(int64(slots))
}

// acquire takes a place for a generation if the share has room.
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
