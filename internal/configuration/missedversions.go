package configuration

import (
	"maps"
	"time"
)

// maxMissedVersions bounds the map, so that a peer that reports ever higher
// versions cannot make it grow.
const maxMissedVersions = 64

// missedVersions records when each version that is not held yet was first
// reported.
type missedVersions struct {
	reportedAt map[Version]time.Time
}

// add records a version. A version that is already recorded keeps its time.
func (m *missedVersions) add(version, held Version, at time.Time) {
	m.dropUpTo(held)
	if version <= held {
		return
	}
	if _, ok := m.reportedAt[version]; ok || len(m.reportedAt) >= maxMissedVersions {
		return
	}
	if m.reportedAt == nil {
		m.reportedAt = map[Version]time.Time{}
	}
	m.reportedAt[version] = at
}

// dropUpTo drops the versions up to the held one.
func (m *missedVersions) dropUpTo(held Version) {
	maps.DeleteFunc(m.reportedAt, func(v Version, _ time.Time) bool { return v <= held })
}

// dropUnconfirmed drops versions above the head that were recorded before the
// head was read.
func (m *missedVersions) dropUnconfirmed(read headRead) {
	maps.DeleteFunc(m.reportedAt, func(v Version, since time.Time) bool {
		return v > read.version && since.Before(read.started)
	})
}

// newest returns the newest recorded version, 0 if there is none.
func (m *missedVersions) newest() Version {
	var newest Version
	for v := range m.reportedAt {
		newest = max(newest, v)
	}
	return newest
}

// behindSince returns when the first missed version was reported; zero if none
// is missed.
func (m *missedVersions) behindSince() time.Time {
	var first time.Time
	for _, at := range m.reportedAt {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
