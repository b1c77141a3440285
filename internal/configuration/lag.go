package configuration

import (
	"maps"
	"time"
)

// maxKnownVersions bounds the versions remembered: a peer that counts up must
// not make them grow.
const maxKnownVersions = 64

// lag remembers since when each version is known that is not held yet.
type lag struct {
	known map[Version]time.Time
}

// learn notes a version. A version that is already known keeps its first time.
func (l *lag) learn(version, held Version, at time.Time) {
	l.reach(held)
	if version <= held {
		return
	}
	if _, ok := l.known[version]; ok || len(l.known) >= maxKnownVersions {
		return
	}
	if l.known == nil {
		l.known = map[Version]time.Time{}
	}
	l.known[version] = at
}

// reach drops the versions up to the held one.
func (l *lag) reach(held Version) {
	maps.DeleteFunc(l.known, func(v Version, _ time.Time) bool { return v <= held })
}

// refute drops versions above the head that were known before the head was read.
func (l *lag) refute(read headRead) {
	maps.DeleteFunc(l.known, func(v Version, since time.Time) bool {
		return v > read.version && since.Before(read.started)
	})
}

// newest returns the newest known version, 0 if there is none.
func (l *lag) newest() Version {
	var newest Version
	for v := range l.known {
		newest = max(newest, v)
	}
	return newest
}

// since returns when the first missed version became known; zero if none is
// missed.
func (l *lag) since() time.Time {
	var first time.Time
	for _, at := range l.known {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
