package storesync

import (
	"context"
	"math/rand/v2"
	"time"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

// An instance whose peers may deliver the rows of a later era of the store leaves them some time for
// it, before it reads all rows itself. Shares are of the maximum age of the urgent topics.
const (
	// catchUpShare is the longest time that a follower leaves to its peers. Half of it is random, so
	// that followers that no peer reaches do not all read at the same moment.
	catchUpShare = 0.3
	// catchUpRankShare is the time for each stale peer that ranks before an instance that reads the
	// store in their place: the first of them that reaches the store again reads for the others.
	catchUpRankShare = 0.1
	// catchUpCheckInterval and catchUpRetryPause replace sourceCheckInterval and stalePeerBackoff
	// meanwhile.
	catchUpCheckInterval = 50 * time.Millisecond
	catchUpRetryPause    = 200 * time.Millisecond
)

// catchUp is the wait of an instance for the rows of the newest era of the store. It is immutable.
type catchUp struct {
	era    discovery.Era // newest one that the store has shown
	since  time.Duration // by the clock
	jitter float64       // between 0 and 1
}

// observe returns the wait after the store has shown an era. A wait that began less than limit ago goes
// on, so that frequent returns of the store do not prolong it.
func (c catchUp) observe(era discovery.Era, now, limit time.Duration) catchUp {
	switch {
	case era <= c.era:
		return c
	case c.era > 0 && now-c.since < limit:
		return catchUp{era: era, since: c.since, jitter: c.jitter}
	}
	return catchUp{era: era, since: now, jitter: rand.Float64()}
}

// catchUpDelay returns the time that an instance leaves to its peers. staleBefore is the number of stale
// peers that rank before it.
func catchUpDelay(source dataSource, staleBefore int, jitter float64, maxAge time.Duration) time.Duration {
	share := catchUpShare
	if source.readStore {
		share = min(share, catchUpRankShare*float64(staleBefore))
	}
	return fractionOf(share*(1+jitter)/2, maxAge)
}

// AwaitPeers waits while a peer may deliver the rows of a topic in the newest era of the store, and
// reports whether one has.
func (s *Syncer) AwaitPeers(ctx context.Context, topic discovery.Topic) (delivered bool) {
	for ctx.Err() == nil {
		changed := s.Logs[topic].Changed()
		held, _ := s.Logs[topic].Revision()
		newest, laterEra := s.Eras.Newest()
		if held.Era >= newest {
			return true
		}
		s.mu.Lock()
		s.observeEra(newest)
		wait, rescheduled := s.untilCaughtUp(), s.rescheduled
		s.mu.Unlock()
		if wait <= 0 {
			return false
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-laterEra:
		case <-rescheduled:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return false
}

// observeEra notes an era that is later than that of held rows. The caller holds mu.
func (s *Syncer) observeEra(era discovery.Era) {
	s.catchUp = s.catchUp.observe(era, s.Clock(), fractionOf(catchUpShare, s.urgentMaxAge()))
}

// untilCaughtUp returns the remaining time that this instance leaves to its peers. The caller holds mu.
func (s *Syncer) untilCaughtUp() time.Duration {
	if s.transport == nil {
		return 0
	}
	return s.catchUp.since + catchUpDelay(s.source, s.staleBefore, s.catchUp.jitter, s.urgentMaxAge()) - s.Clock()
}

// isCatchingUp reports whether an urgent topic is behind the store and peers may still deliver it. The
// caller holds mu.
func (s *Syncer) isCatchingUp() bool {
	newest, _ := s.Eras.Newest()
	for _, topic := range urgentTopics {
		if held, loaded := s.Logs[topic].Revision(); loaded && newest > held.Era {
			s.observeEra(newest)
			return s.untilCaughtUp() > 0
		}
	}
	return false
}

// countStaleBefore returns the number of stale peers that rank before this instance. The caller
// holds mu.
func (s *Syncer) countStaleBefore(ranked []Member) (n int) {
	for _, m := range ranked {
		if m.ID == s.Self.ID {
			break
		}
		if failure, failed := s.peerFailures[m.ID]; failed && failure.health == stale {
			n++
		}
	}
	return n
}

// retryTime returns when a peer that has failed is polled again. The caller holds mu.
func (s *Syncer) retryTime(failure peerFailure) time.Duration {
	if failure.health == stale && s.isCatchingUp() {
		return failure.retryAt - failure.backoff + catchUpRetryPause
	}
	return failure.retryAt
}

// awaitSourceCheck waits until the source is to be selected again while no peer is followed.
func (s *Syncer) awaitSourceCheck(ctx context.Context) {
	_, laterEra := s.Eras.Newest()
	s.mu.Lock()
	wait := sourceCheckInterval
	if s.isCatchingUp() {
		wait = catchUpCheckInterval
	}
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-laterEra:
	case <-ctx.Done():
	}
}
