package upstream

import (
	"bytes"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	// quarantineDeaths is how many distinct upstreams must die while running a
	// content.
	quarantineDeaths = 3
	// quarantineTime is how long a content is refused, and the time within
	// which the deaths must occur.
	quarantineTime = 10 * time.Minute
	// evidenceLifetime keeps a death until the end of a quarantine that began
	// with a later one.
	evidenceLifetime = 2 * quarantineTime
	// correlationWindow is the time within which deaths in one failure domain
	// are taken to have a common cause.
	correlationWindow = 2 * time.Second
	// maxDeaths, maxContentsPerDeath and maxCompletions bound the evidence.
	maxDeaths           = 512
	maxContentsPerDeath = 256
	maxCompletions      = 1024
)

// Start names one run of an upstream process.
type Start struct {
	Upstream    contract.UpstreamID
	Incarnation Incarnation
}

// Death records the confirmed death of an upstream process and the contents
// that ran on it, as far as known.
type Death struct {
	Start         Start
	FailureDomain contract.FailureDomainID
	At            time.Time
	Contents      []ContentKey // sorted
}

// Evidence is the set of deaths from which the standing of contents follows.
// Sets of several instances are merged by union, in any order and any number of
// times. It is not safe for concurrent use and reads no clock.
type Evidence struct {
	deaths map[Start]Death
	// cleared holds the newest completion of contents that were charged: a
	// content that runs to its end is not the cause of earlier deaths.
	cleared map[ContentKey]time.Time
	// alive holds processes that answered after their supposed death, as after
	// a network partition.
	alive map[Start]time.Time
}

// NewEvidence returns an empty set.
func NewEvidence() *Evidence {
	return &Evidence{
		deaths:  make(map[Start]Death),
		cleared: make(map[ContentKey]time.Time),
		alive:   make(map[Start]time.Time),
	}
}

// Death returns the recorded death of a process.
func (e *Evidence) Death(start Start) (Death, bool) {
	death, found := e.deaths[start]
	return death, found
}

// AddDeath merges a death: the earliest time and the union of the contents.
// changed reports whether the set has grown.
func (e *Evidence) AddDeath(death Death) (merged Death, changed bool) {
	known, found := e.deaths[death.Start]
	if !found {
		death.Contents = mergeContents(nil, death.Contents)
		e.deaths[death.Start] = death
		e.limitDeaths()
		return death, true
	}
	merged = known
	merged.Contents = mergeContents(known.Contents, death.Contents)
	if death.At.Before(known.At) {
		merged.At = death.At
	}
	e.deaths[death.Start] = merged
	return merged, len(merged.Contents) != len(known.Contents) || !merged.At.Equal(known.At)
}

// AddCompletion records that a content ran to its end.
func (e *Evidence) AddCompletion(content ContentKey, at time.Time) (changed bool) {
	return addNewest(e.cleared, content, at, maxCompletions)
}

// AddAlive records that a process answered a request sent at the given time.
func (e *Evidence) AddAlive(start Start, at time.Time) (changed bool) {
	return addNewest(e.alive, start, at, maxDeaths)
}

// Expire forgets what no longer matters.
func (e *Evidence) Expire(now time.Time) (changed bool) {
	before := len(e.deaths) + len(e.cleared) + len(e.alive)
	for start, death := range e.deaths {
		if now.Sub(death.At) > evidenceLifetime {
			delete(e.deaths, start)
		}
	}
	expireTimes(e.cleared, now)
	expireTimes(e.alive, now)
	return len(e.deaths)+len(e.cleared)+len(e.alive) != before
}

func expireTimes[K comparable](times map[K]time.Time, now time.Time) {
	for key, at := range times {
		if now.Sub(at) > evidenceLifetime {
			delete(times, key)
		}
	}
}

// addNewest keeps the newest time for a key and removes the oldest entry when
// there are too many.
func addNewest[K comparable](times map[K]time.Time, key K, at time.Time, limit int) (changed bool) {
	if !at.After(times[key]) {
		return false
	}
	times[key] = at
	if len(times) > limit {
		oldest := key
		for other, otherAt := range times {
			if otherAt.Before(times[oldest]) {
				oldest = other
			}
		}
		delete(times, oldest)
	}
	return true
}

func (e *Evidence) limitDeaths() {
	if len(e.deaths) <= maxDeaths {
		return
	}
	var oldest Death
	for _, death := range e.deaths {
		if oldest.At.IsZero() || death.At.Before(oldest.At) {
			oldest = death
		}
	}
	delete(e.deaths, oldest.Start)
}

func compareContents(a, b ContentKey) int { return bytes.Compare(a[:], b[:]) }

// mergeContents returns the sorted union without zero keys.
func mergeContents(a, b []ContentKey) []ContentKey {
	union := slices.Concat(a, b)
	union = slices.DeleteFunc(union, func(c ContentKey) bool { return c == ContentKey{} })
	slices.SortFunc(union, compareContents)
	union = slices.Compact(union)
	return union[:min(len(union), maxContentsPerDeath)]
}
