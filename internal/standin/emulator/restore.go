package emulator

import (
	"net/http"
	"strconv"
	"time"
)

// headerStoreEra is the header of the store's responses that states its era.
const headerStoreEra = "Store-Era"

// undoRetention is how far back a restore can go.
const undoRetention = time.Minute

// Restore is a return of the store from a copy of itself.
type Restore struct {
	// LostMS is how much older than the moment at which the store goes away the copy is.
	LostMS int `json:"lost_ms"`
	// AwayMS is how long the store is away before it returns: calls lose their connection.
	AwayMS int `json:"away_ms"`
	// ResetHeld resets the held calls at the return, which are otherwise answered then.
	ResetHeld bool `json:"reset_held"`
}

// undoEntry holds what a change of the store replaced.
type undoEntry struct {
	at      time.Time
	version int64          // before the change
	rows    map[string]row // changed rows before the change; zero if there was none
}

// Restore makes the store go away and come back from a copy, with its era one higher. Versions
// are given out again. It returns at once if the store is away for some time first.
func (s *Store) Restore(restore Restore) {
	s.mu.Lock()
	s.away++
	copiedAt := time.Now().Add(-time.Duration(restore.LostMS) * time.Millisecond)
	s.mu.Unlock()
	comeBack := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.away--
		s.era++
		s.resetHeld = restore.ResetHeld
		s.rollBack(copiedAt)
	}
	if restore.AwayMS == 0 {
		comeBack()
		return
	}
	time.AfterFunc(time.Duration(restore.AwayMS)*time.Millisecond, comeBack)
}

// Era returns the era of the store.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away > 0
}

// setEra states the era in a response. The caller must hold mu.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(headerStoreEra, strconv.FormatInt(s.era, 10))
}

// rollBack brings the store back to its state at a time. The state before is kept like that
// before any change, because a later copy may be older than this return. The caller must
// hold mu.
func (s *Store) rollBack(to time.Time) {
	changes, version := map[string]row{}, s.version
	for i := len(s.undo) - 1; i >= 0 && s.undo[i].at.After(to); i-- {
		version = s.undo[i].version
		for key, before := range s.undo[i].rows {
			changes[key] = before
		}
	}
	s.apply(changes, version)
	s.droppedUpTo = min(s.droppedUpTo, version)
}

// apply replaces rows, of which those without a version are absent, sets the version, and ends
// the wait of held calls. The caller must hold mu.
func (s *Store) apply(changes map[string]row, version int64) {
	now := time.Now()
	entry := undoEntry{at: now, version: s.version, rows: map[string]row{}}
	for key, changed := range changes {
		entry.rows[key] = s.rows[key]
		s.rows[key] = changed
		if changed.Version == 0 {
			delete(s.rows, key)
		}
	}
	for len(s.undo) > 0 && now.Sub(s.undo[0].at) > undoRetention {
		s.undo = s.undo[1:]
	}
	s.undo = append(s.undo, entry)
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

// lateResponse is a response that is sent some time after it was computed.
type lateResponse struct {
	header http.Header
	status int
	body   []byte
}

func (l *lateResponse) Header() http.Header { return l.header }

func (l *lateResponse) WriteHeader(status int) { l.status = status }

func (l *lateResponse) Write(p []byte) (int, error) {
	l.body = append(l.body, p...)
	return len(p), nil
}

func (l *lateResponse) send(w http.ResponseWriter) {
	for name, values := range l.header {
		w.Header()[name] = values
	}
	w.WriteHeader(l.status)
	_, _ = w.Write(l.body) // an error means that the caller disconnected
}
