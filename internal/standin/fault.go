// Package standin holds small stand-ins for the systems outside foxtailhub: the
// platform, model engines and plain services. They exist for tests,
// measurements and the demo; each has a fault switch.
//
// The package must never be imported by a shipped program.
package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Fault is what a stand-in does wrong. The zero value is no fault. It is set by
// PUT /fault with this type as JSON, and read by GET /fault.
type Fault struct {
	Die         bool    `json:"die,omitempty"`           // exit at once, without an answer
	DieAfter    int64   `json:"die_after,omitempty"`     // engine: exit after this many tokens from now
	DieOnPrompt string  `json:"die_on_prompt,omitempty"` // engine: exit when a prompt contains this text
	Pause       bool    `json:"pause,omitempty"`         // do nothing until the fault is cleared; connections stay open
	Cut         bool    `json:"cut,omitempty"`           // close all open connections once
	Silence     bool    `json:"silence,omitempty"`       // connections open now go silent for good; new ones work
	SlowMS      int64   `json:"slow_ms,omitempty"`       // delay before each answer, milliseconds
	Refuse      bool    `json:"refuse,omitempty"`        // answer 503 to everything
	LoseAnswer  bool    `json:"lose_answer,omitempty"`   // carry out the request, then close without an answer
	LoseRate    float64 `json:"lose_rate,omitempty"`     // share of requests for which LoseAnswer applies, 0 to 1
	LagMS       int64   `json:"lag_ms,omitempty"`        // load reports and lists are this old, milliseconds
	Leaving     bool    `json:"leaving,omitempty"`       // engine, service: finish what runs, refuse new work
}

// FaultSwitch holds the current fault of a stand-in.
type FaultSwitch struct {
	current atomic.Pointer[Fault]
	onSet   func(Fault)
}

// NewFaultSwitch returns a switch without a fault. onSet is called with each
// new fault, after it is in force; it may be nil.
func NewFaultSwitch(onSet func(Fault)) *FaultSwitch {
	s := &FaultSwitch{onSet: onSet}
	s.current.Store(&Fault{})
	return s
}

// Current returns the fault in force.
func (s *FaultSwitch) Current() Fault { return *s.current.Load() }

// Set puts a fault in force.
func (s *FaultSwitch) Set(f Fault) {
	s.current.Store(&f)
	s.notify(f)
}

func (s *FaultSwitch) notify(f Fault) {
	if s.onSet != nil {
		s.onSet(f)
	}
}

// ServeHTTP serves GET and PUT of /fault.
func (s *FaultSwitch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		_ = json.NewEncoder(w).Encode(s.Current())
	case http.MethodPut:
		var f Fault
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.current.Store(&f)
		// The sender may rely on the fault once it has the answer, except that a
		// process which is to die answers first. The connection is closed so
		// that no later request is sent over one that has gone silent.
		w.Header().Set("Connection", "close")
		if !f.Die {
			s.notify(f)
		}
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		if f.Die {
			s.notify(f)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
