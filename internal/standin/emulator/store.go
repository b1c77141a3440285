// Package emulator emulates the users' platform for tests and the demo: its
// store, its model servers and its plain servers, as far as the gateway uses
// them, and a network with faults between them. It follows the documentation of
// the platform.
//
// The package must never be imported by a shipped program.
package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is the JSON encoding of a row of the store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// storeKey is the key of a row in the store's map.
func (r row) storeKey() string { return r.Table + "/" + r.Key }

// StoreFault is an injected fault of the store. The zero value means no fault.
type StoreFault struct {
	Status      int  `json:"status"`       // HTTP status of all responses; 0: no fault
	DelayMS     int  `json:"silent_ms"`    // delay before each response
	DropHistory bool `json:"drop_history"` // discards the change history up to now, once
	LateMS      int  `json:"late_ms"`      // delay of each response after it was computed
	// Restore makes the store come back from a copy, once; nil: it does not.
	Restore *Restore `json:"restore"`
}

// Store emulates the platform's store. It keeps its rows in memory.
type Store struct {
	mu          sync.Mutex // guards the fields below
	version     int64
	rows        map[string]row // by table and key; removed rows stay as tombstones
	era         int64          // rises by one each time the store comes back from a copy
	undo        []undoEntry    // of the changes within undoRetention, ordered by time
	away        int            // number of restores that have begun and not ended
	resetHeld   bool           // the last restore reset the held calls
	droppedUpTo int64          // the change history up to this version is discarded
	changed     chan struct{}  // closed at the next change
	fault       StoreFault
	calls       map[string]int // by table, writes as "write"
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: 1, rows: map[string]row{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// CallCounts returns the number of calls that the store at an address received,
// including refused ones, by table. Writes count as "write".
func CallCounts(ctx context.Context, client *http.Client, address string) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+callsPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var calls map[string]int
	return calls, json.NewDecoder(response.Body).Decode(&calls)
}

// callsPath is the path at which the store reports the number of calls received.
const callsPath = "/emulator/calls"

// ServeHTTP serves the calls of the platform's store, the number of calls and
// POST /fault.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		s.setFault(w, r)
		return
	}
	s.mu.Lock()
	fault := s.fault
	switch r.URL.Path {
	case callsPath:
		writeJSON(w, s.calls)
		s.mu.Unlock()
		return
	case "/v1/rows-tx":
		s.calls["write"]++
	default:
		s.calls[r.URL.Query().Get("table")]++
	}
	s.mu.Unlock()
	if fault.DelayMS > 0 && !sleep(r, time.Duration(fault.DelayMS)*time.Millisecond) {
		return
	}
	if s.isAway() {
		panic(http.ErrAbortHandler) // resets the connection
	}
	if fault.LateMS > 0 {
		late := &lateResponse{header: http.Header{}, status: http.StatusOK}
		s.serveCall(late, r, fault)
		if sleep(r, time.Duration(fault.LateMS)*time.Millisecond) {
			late.send(w)
		}
		return
	}
	s.serveCall(w, r, fault)
}

// serveCall serves a call of the store, or refuses it.
func (s *Store) serveCall(w http.ResponseWriter, r *http.Request, fault StoreFault) {
	s.mu.Lock()
	s.setEra(w)
	s.mu.Unlock()
	if fault.Status != 0 {
		w.WriteHeader(fault.Status)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.serveGet(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	case "/v1/rows-tx":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) setFault(w http.ResponseWriter, r *http.Request) {
	var fault StoreFault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.fault = fault
	if fault.DropHistory {
		s.droppedUpTo = s.version
	}
	s.mu.Unlock()
	if fault.Restore != nil {
		s.Restore(*fault.Restore)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rows, version := s.changedSince(r.URL.Query().Get("table"), 0), s.version
	s.setEra(w)
	s.mu.Unlock()
	rows = slices.DeleteFunc(rows, func(r row) bool { return r.Tombstone })
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"rows": rows, "has_more": false, "ver": version})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("since_rev"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	firstEra := int64(0)
	for timedOut := wait == 0; ; {
		s.mu.Lock()
		rows, version, droppedUpTo, changed := s.changedSince(query.Get("table"), since), s.version, s.droppedUpTo, s.changed
		if firstEra == 0 {
			firstEra = s.era
		}
		restored, resetHeld, away := s.era != firstEra, s.resetHeld, s.away > 0
		s.setEra(w)
		s.mu.Unlock()
		switch {
		case restored && resetHeld:
			panic(http.ErrAbortHandler) // resets the connection
		case away: // answered or reset at the return
		case since < droppedUpTo || since > version:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0 || timedOut || restored:
			writeJSON(w, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// changedSince returns the rows of a table that changed after a version, ordered by
// version. The caller must hold mu.
func (s *Store) changedSince(table string, version int64) []row {
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
	return rows
}

// transaction is the body of a conditional write.
type transaction struct {
	Expected []row `json:"expected_rev"` // rows with their expected version; 0: the row must not exist
	Set      []row `json:"set_keys"`
	Remove   []row `json:"remove"`
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if current, met := s.checkExpected(tx.Expected); !met {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"rows": current, "ver": s.version}) // an error means that the caller disconnected
		return
	}
	changes := map[string]row{}
	for _, set := range tx.Set {
		set.Version = s.version + 1
		changes[set.storeKey()] = set
	}
	for _, removed := range tx.Remove {
		changes[removed.storeKey()] = row{Table: removed.Table, Key: removed.Key, Version: s.version + 1, Tombstone: true}
	}
	s.apply(changes, s.version+1)
	writeJSON(w, map[string]any{"ver": s.version})
}

// checkExpected reports whether rows have the expected versions, and returns the
// current rows. The caller must hold mu.
func (s *Store) checkExpected(expected []row) (current []row, met bool) {
	met = true
	for _, want := range expected {
		stored := s.rows[want.storeKey()]
		if stored.Tombstone {
			stored.Version = 0
		}
		met = met && stored.Version == want.Version
		if stored.Version != 0 {
			current = append(current, stored)
		}
	}
	return current, met
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller disconnected
}

// sleep waits for d. It returns false if the caller disconnects first.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
