package news

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	// minDomainSize is the number of instances in a failure domain from which one reads
	// for the others. A reader reads more often than one that reads for itself, so
	// with fewer there is nothing to save.
	minDomainSize = 4
	// maxStaleSources is how many instances without fresh news are asked before it is taken
	// that the store is away from all of them.
	maxStaleSources = 5
)

// peerHealth is what is believed of a peer as a source of news.
type peerHealth int

const (
	healthy  peerHealth = iota
	stale            // it answers, but its news is old: it does not reach the store
	unresponsive           // it does not answer, or leaves
)

// dataSource is where an instance gets its news. Neither field set means that it waits:
// others are as far from the store as itself.
type dataSource struct {
	readStore bool                // from the store, for itself and whoever follows it
	peer contract.InstanceID // from a peer
}

// chooseSource returns the source of an instance: the first of its failure domain that is
// sound. ranked holds all members of the domain, this one too.
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

// Times of the news, as parts of the time within which a topic must be known anew.
const (
	// readIntervalShare is the time between two reads of an instance that reads for others.
	readIntervalShare = 0.35
	// pollHoldShare is how long a question to a peer is held while there is no news. What a
	// follower knows is at most as old as a read and a held question take, and must
	// stay below ownShare.
	pollHoldShare = 0.2
	// peerStaleShare is the age from which news of a peer counts as old. It is more than
	// a read and a held question take.
	peerStaleShare = 0.7
	// directReadShare is the age from which an instance reads for itself, and spreadShare the
	// part by which this is put off at random, so that the followers of a lost reader
	// do not read all at the same moment.
	directReadShare    = 0.8
	directReadJitterShare = 0.2
	// directReadBackoffShare is the pause between two such reads while the store does not answer.
	directReadBackoffShare = 0.5
)

func fractionOf(share float64, d time.Duration) time.Duration { return time.Duration(share * float64(d)) }

const (
	// responseTimeout bounds the wait for a peer's answer beyond the time for which it is
	// held. Machines with a fifth of a core take some 10 ms for one, and up to
	// 100 ms when many follow one reader.
	responseTimeout = 250 * time.Millisecond
	// stalePeerBackoff is the time after which a peer without fresh news is asked again.
	stalePeerBackoff = 500 * time.Millisecond
	// minUnresponsiveBackoff and silentPauseMax bound the pause before a silent peer is asked again.
	minUnresponsiveBackoff    = time.Second
	maxUnresponsiveBackoff = 30 * time.Second
)

// peerFailure is what is known of a peer that is not sound. It is a value.
type peerFailure struct {
	health peerHealth
	backoff     time.Duration // before the next question
	retryAt     time.Duration // by the clock
}

// nextFailure returns what follows from a further failure of the same peer.
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
