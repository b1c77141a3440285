// Package emulator plays the users' platform for tests and the demo: its store,
// its model servers and its plain servers, as far as the gateway uses them, and
// the network between them with faults. It is written from the platform's pages.
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

// row is a row of the store as it is written on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// StoreFault is how the store misbehaves. The zero value is a store that is well.
type StoreFault struct {
	Status      int  `json:"status"`       // answered to all calls; 0: none
	SilentMS    int  `json:"silent_ms"`    // wait before each answer
	DropHistory bool `json:"drop_history"` // once: changes before now are forgotten
}

// Store is the platform's store. It keeps its rows in memory.
type Store struct {
	mu          sync.Mutex // guards the fields below
	version     int64
	rows        map[string]row // by table and key; removed rows stay as tombstones
	droppedUpTo int64          // changes up to this version are forgotten
	changed     chan struct{}  // closed at the next change
	fault       StoreFault
	calls       map[string]int // by table, writes as "write"
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[string]row{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// Calls returns how many calls the store at an address has got, refused ones too, by
// table; writes count as "write".
func Calls(ctx context.Context, client *http.Client, address string) (map[string]int, error) {
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

// callsPath is where the store tells how many calls it has got.
const callsPath = "/emulator/calls"

// ServeHTTP answers the calls of the platform's store, and POST /fault.
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
	if fault.SilentMS > 0 && !sleep(r, time.Duration(fault.SilentMS)*time.Millisecond) {
		return
	}
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
	defer s.mu.Unlock()
	s.fault = fault
	if fault.DropHistory {
		s.droppedUpTo = s.version
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rows, version := s.changedSince(r.URL.Query().Get("table"), 0), s.version
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
	for timedOut := wait == 0; ; {
		s.mu.Lock()
		rows, version, oldest, changed := s.changedSince(query.Get("table"), since), s.version, s.droppedUpTo, s.changed
		s.mu.Unlock()
		switch {
		case since < oldest:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0 || timedOut:
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

// changedSince returns the rows of a table that changed after a version, in order.
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

// transaction is the body of a conditional change.
type transaction struct {
	Expected []row `json:"expected_rev"` // rows with the version that they must have; 0: none
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
	if current, met := s.checkExpected(tx.Expected); !met {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"rows": current, "ver": s.version}) // an error means that the caller has left
		return
	}
	s.version++
	for _, set := range tx.Set {
		set.Version = s.version
		s.rows[set.Table+"/"+set.Key] = set
	}
	for _, removed := range tx.Remove {
		s.rows[removed.Table+"/"+removed.Key] = row{Table: removed.Table, Key: removed.Key, Version: s.version, Tombstone: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	writeJSON(w, map[string]any{"ver": s.version})
}

// checkExpected reports whether rows have the expected versions, and returns them as they are.
func (s *Store) checkExpected(expected []row) (current []row, met bool) {
	met = true
	for _, want := range expected {
		stored := s.rows[want.Table+"/"+want.Key]
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
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has left
}

// sleep waits, and reports whether the caller is still there.
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
