package configuration

import (
	"maps"
	"time"
)

// maxMissedVersions bounds the versions remembered: a peer that counts up must
// not make them grow.
const maxMissedVersions = 64

// missedVersions remembers since when each version is known that is not held yet.
type missedVersions struct {
	knownSince map[Version]time.Time
}

// add notes a version. A version that is already known keeps its first time.
func (m *missedVersions) add(version, held Version, at time.Time) {
	m.dropUpTo(held)
	if version <= held {
		return
	}
	if _, ok := m.knownSince[version]; ok || len(m.knownSince) >= maxMissedVersions {
		return
	}
	if m.knownSince == nil {
		m.knownSince = map[Version]time.Time{}
	}
	m.knownSince[version] = at
}

// dropUpTo drops the versions up to the held one.
func (m *missedVersions) dropUpTo(held Version) {
	maps.DeleteFunc(m.knownSince, func(v Version, _ time.Time) bool { return v <= held })
}

// dropUnconfirmed drops versions above the head that were known before the head was read.
func (m *missedVersions) dropUnconfirmed(read headRead) {
	maps.DeleteFunc(m.knownSince, func(v Version, since time.Time) bool {
		return v > read.version && since.Before(read.started)
	})
}

// newest returns the newest known version, 0 if there is none.
func (m *missedVersions) newest() Version {
	var newest Version
	for v := range m.knownSince {
		newest = max(newest, v)
	}
	return newest
}

// behindSince returns when the first missed version became known; zero if none is
// missed.
func (m *missedVersions) behindSince() time.Time {
	var first time.Time
	for _, at := range m.knownSince {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
