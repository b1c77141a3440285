package upstream

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	// quarantineCrashes is the number of distinct upstreams that must crash while
	// running a content before it is quarantined.
	quarantineCrashes = 3
	// quarantineDuration is how long a content is refused, and the time within
	// which the crashes must occur.
	quarantineDuration = 10 * time.Minute
	// evidenceLifetime keeps a crash until the end of a quarantine that a later
	// crash started.
	evidenceLifetime = 2 * quarantineDuration
	// correlationWindow is the time within which crashes in one failure domain
	// are assumed to have a common cause.
	correlationWindow = 2 * time.Second
	// disputeWindow is how long before or after the crashes of a content those of
	// other upstreams put in doubt that it is the cause.
	disputeWindow = 5 * time.Second
	// disputeDelay is the time between the crash that identifies a content and its
	// quarantine if another one may be the cause. The evidence may be at an instance
	// that is paused or cut off, or follow from the next crashes of the other content.
	// Until then the content is deferred.
	disputeDelay = 8 * time.Second
	// maxCrashes, maxContentsPerCrash and maxCompletions bound the evidence.
	maxCrashes          = 512
	maxContentsPerCrash = 256
	maxCompletions      = 1024
)

// ProcessID identifies one run of an upstream process.
type ProcessID struct {
	Upstream    contract.UpstreamID
	Incarnation Incarnation
}

// isUnknown reports whether the incarnation is made up.
func (p ProcessID) isUnknown() bool {
	return strings.HasPrefix(string(p.Incarnation), unknownProcessPrefix)
}

// Crash is the confirmed crash of an upstream process with the contents that ran
// on it, as far as known.
type Crash struct {
	Process       ProcessID
	FailureDomain contract.FailureDomainID
	At            time.Time
	Contents      []ContentKey // sorted
}

// Evidence is the set of crashes from which the status of contents is computed.
// Sets of several instances are merged by union, in any order and any number of
// times. It is not safe for concurrent use and reads no clock.
type Evidence struct {
	crashes map[ProcessID]Crash
	// cleared holds the newest completion of contents with attributed crashes: a
	// content that runs to its end did not cause earlier crashes.
	cleared map[ContentKey]time.Time
	// alive holds processes that responded after their recorded crash, for
	// example after a network partition.
	alive map[ProcessID]time.Time
}

// NewEvidence returns an empty set.
func NewEvidence() *Evidence {
	return &Evidence{
		crashes: make(map[ProcessID]Crash),
		cleared: make(map[ContentKey]time.Time),
		alive:   make(map[ProcessID]time.Time),
	}
}

// Crash returns the recorded crash of a process.
func (e *Evidence) Crash(processID ProcessID) (Crash, bool) {
	crash, found := e.crashes[processID]
	return crash, found
}

// AddCrash merges a crash: the earliest time and the union of the contents.
// changed reports whether the set has grown.
func (e *Evidence) AddCrash(crash Crash) (merged Crash, changed bool) {
	known, found := e.crashes[crash.Process]
	if !found {
		crash.Contents = mergeContents(nil, crash.Contents)
		e.crashes[crash.Process] = crash
		e.limitCrashes()
		return crash, true
	}
	merged = known
	merged.Contents = mergeContents(known.Contents, crash.Contents)
	if crash.At.Before(known.At) {
		merged.At = crash.At
	}
	e.crashes[crash.Process] = merged
	return merged, len(merged.Contents) != len(known.Contents) || !merged.At.Equal(known.At)
}

// AddCompletion records that a content ran to its end.
func (e *Evidence) AddCompletion(content ContentKey, at time.Time) (changed bool) {
	return addNewest(e.cleared, content, at, maxCompletions)
}

// AddAlive records that a process responded to a request sent at the given time.
func (e *Evidence) AddAlive(processID ProcessID, at time.Time) (changed bool) {
	return addNewest(e.alive, processID, at, maxCrashes)
}

// Expire removes evidence older than evidenceLifetime.
func (e *Evidence) Expire(now time.Time) (changed bool) {
	before := len(e.crashes) + len(e.cleared) + len(e.alive)
	for processID, crash := range e.crashes {
		if now.Sub(crash.At) > evidenceLifetime {
			delete(e.crashes, processID)
		}
	}
	expireTimes(e.cleared, now)
	expireTimes(e.alive, now)
	return len(e.crashes)+len(e.cleared)+len(e.alive) != before
}

func expireTimes[K comparable](times map[K]time.Time, now time.Time) {
	for key, at := range times {
		if now.Sub(at) > evidenceLifetime {
			delete(times, key)
		}
	}
}

// addNewest keeps the newest time for a key and removes the oldest entry above
// the limit.
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

func (e *Evidence) limitCrashes() {
	if len(e.crashes) <= maxCrashes {
		return
	}
	var oldest Crash
	for _, crash := range e.crashes {
		if oldest.At.IsZero() || crash.At.Before(oldest.At) {
			oldest = crash
		}
	}
	delete(e.crashes, oldest.Process)
}

func compareContents(a, b ContentKey) int { return bytes.Compare(a[:], b[:]) }

// mergeContents returns the sorted union without zero keys.
func mergeContents(a, b []ContentKey) []ContentKey {
	union := slices.Concat(a, b)
	union = slices.DeleteFunc(union, func(c ContentKey) bool { return c == ContentKey{} })
	slices.SortFunc(union, compareContents)
	union = slices.Compact(union)
	return union[:min(len(union), maxContentsPerCrash)]
}
