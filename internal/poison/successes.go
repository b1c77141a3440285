package poison

import "time"

const (
	// successMemory is how long a part counts as known good after a success.
	successMemory = 10 * time.Minute
	// maxSuccessParts bounds the parts of one generation of successes.
	maxSuccessParts = 50_000
)

// successes remembers the time of the last success on each part in two generations, of which
// the older one is dropped at a time.
type successes struct {
	recent, old map[Part]time.Time
	since       time.Time // start of the recent generation
}

// add records a success and reports whether it is later than those known.
func (s *successes) add(now, at time.Time, part Part) bool {
	if last, ok := s.last(part); ok && !at.After(last) {
		return false
	}
	if s.recent == nil || now.Sub(s.since) >= successMemory || len(s.recent) >= maxSuccessParts {
		s.old, s.recent, s.since = s.recent, map[Part]time.Time{}, now
	}
	s.recent[part] = at
	return true
}

// last returns the time of the last remembered success on a part.
func (s *successes) last(part Part) (time.Time, bool) {
	if at, ok := s.recent[part]; ok {
		return at, true
	}
	at, ok := s.old[part]
	return at, ok
}

// knownGood returns the time of a success that is recent enough to count.
func (s *successes) knownGood(now time.Time, part Part) (time.Time, bool) {
	at, ok := s.last(part)
	return at, ok && now.Sub(at) < successMemory
}
