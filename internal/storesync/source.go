package storesync

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	// minDomainSize is the size of a failure domain from which one instance reads the
	// store for the others. A reader polls more often than an instance without
	// followers, so smaller domains would save no calls.
	minDomainSize = 4
	// maxStaleSources is the number of stale instances after which the store is assumed
	// to be unreachable from all of them.
	maxStaleSources = 5
)

// peerHealth is the status of a peer as a source of updates.
type peerHealth int

const (
	healthy      peerHealth = iota
	stale                   // it responds, but its rows are old: it does not reach the store
	unresponsive            // it does not respond, or is leaving
)

// dataSource is the source of an instance's updates. The zero value means that it waits,
// because no instance seems to reach the store.
type dataSource struct {
	readStore bool                // from the store, for itself and its followers
	peer      contract.InstanceID // from a peer
}

// chooseSource returns the source of an instance: the first healthy member of its failure
// domain. ranked holds all members of the domain, including the instance itself.
func chooseSource(self contract.InstanceID, ranked []Member, healthByPeer map[contract.InstanceID]peerHealth, storeFailing bool) dataSource {
	if len(ranked) < minDomainSize {
		return dataSource{readStore: true}
	}
	staleCount := 0
	for _, m := range ranked {
		health := healthByPeer[m.ID]
		if m.ID == self {
			health = healthy
			if storeFailing {
				health = stale
			}
		}
		switch {
		case health == healthy && m.ID == self:
			return dataSource{readStore: true}
		case health == healthy:
			return dataSource{peer: m.ID}
		case health == stale:
			if staleCount++; staleCount == maxStaleSources {
				return dataSource{}
			}
		}
	}
	return dataSource{readStore: true}
}

// Intervals and ages as shares of the maximum age of a topic (Config.MaxAge).
const (
	// readIntervalShare is the time between two reads of an instance that reads for followers.
	readIntervalShare = 0.35
	// pollHoldShare is how long a peer holds a request while there are no updates. The rows
	// of a follower are at most as old as a read interval plus a held request, which must
	// stay below directReadShare.
	pollHoldShare = 0.2
	// peerStaleShare is the age from which a peer's rows count as stale. It is more than
	// a read interval plus a held request.
	peerStaleShare = 0.7
	// directReadShare is the age from which an instance without followers reads the store
	// directly. directReadJitterShare bounds the random delay added to it, so that the
	// followers of a lost reader do not all read at the same moment.
	directReadShare       = 0.8
	directReadJitterShare = 0.2
	// directReadBackoffShare is the pause between two direct reads while the store fails.
	directReadBackoffShare = 0.5
)

func fractionOf(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}

const (
	// responseTimeout bounds the wait for a peer's response beyond the hold time. Machines
	// with a fifth of a core take some 10 ms to respond, and up to 100 ms when many
	// instances follow one reader.
	responseTimeout = 250 * time.Millisecond
	// stalePeerBackoff is the time after which a stale peer is polled again.
	stalePeerBackoff = 500 * time.Millisecond
	// minUnresponsiveBackoff and maxUnresponsiveBackoff bound the pause before an
	// unresponsive peer is polled again.
	minUnresponsiveBackoff = time.Second
	maxUnresponsiveBackoff = 30 * time.Second
)

// peerFailure is the status of a peer that is not healthy. It is immutable.
type peerFailure struct {
	health  peerHealth
	backoff time.Duration // before the next request
	retryAt time.Duration // by the clock
}

// nextFailure returns the status after a further failure of the same peer. The backoff
// doubles while the peer stays unresponsive.
func (f peerFailure) nextFailure(health peerHealth, now time.Duration) peerFailure {
	backoff := stalePeerBackoff
	if health == unresponsive {
		backoff = minUnresponsiveBackoff
		if f.health == unresponsive {
			backoff = min(2*f.backoff, maxUnresponsiveBackoff)
		}
	}
	return peerFailure{health: health, backoff: backoff, retryAt: now + backoff}
}
