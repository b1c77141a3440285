// Package standin holds small stand-ins for the systems outside foxtailhub: the
// platform, model engines and plain services. They exist for tests,
// measurements and the demo, and faults can be injected into each of them.
//
// The package must never be imported by a shipped program.
package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Fault is an injected fault of a stand-in. The zero value means no fault. PUT
// /fault sets it and GET /fault returns it, as JSON.
type Fault struct {
	Exit             bool    `json:"die,omitempty"`           // exit at once, without a response
	ExitAfterTokens  int64   `json:"die_after,omitempty"`     // engine: exit after generating this many more tokens
	ExitOnPrompt     string  `json:"die_on_prompt,omitempty"` // engine: exit when a prompt contains this text
	Pause            bool    `json:"pause,omitempty"`         // process nothing until the fault is cleared; connections stay open
	Cut              bool    `json:"cut,omitempty"`           // close all open connections once
	Silence          bool    `json:"silence,omitempty"`       // stop all traffic on the connections open now, permanently; new connections work
	DelayMS          int64   `json:"slow_ms,omitempty"`       // delay before each response, milliseconds
	Refuse           bool    `json:"refuse,omitempty"`        // respond with 503 to all requests
	DropResponse     bool    `json:"lose_answer,omitempty"`   // execute the request, then close the connection without a response
	DropResponseRate float64 `json:"lose_rate,omitempty"`     // fraction of requests to which DropResponse applies, 0 to 1
	LagMS            int64   `json:"lag_ms,omitempty"`        // age of load reports and lists, milliseconds
	Leaving          bool    `json:"leaving,omitempty"`       // engine, service: finish running requests, refuse new ones
}

// FaultSwitch holds the current fault of a stand-in.
type FaultSwitch struct {
	current atomic.Pointer[Fault]
	onSet   func(Fault)
}

// NewFaultSwitch returns a switch without a fault. onSet is called with each
// new fault after Current returns it; it may be nil.
func NewFaultSwitch(onSet func(Fault)) *FaultSwitch {
	s := &FaultSwitch{onSet: onSet}
	s.current.Store(&Fault{})
	return s
}

// Current returns the active fault.
func (s *FaultSwitch) Current() Fault { return *s.current.Load() }

// Set activates a fault and calls onSet.
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
		// onSet runs before the response, so that the fault is active once the
		// sender has the response. Only an exit happens after the response. The
		// connection is closed so that it is not reused after it became silent.
		w.Header().Set("Connection", "close")
		if !f.Exit {
			s.notify(f)
		}
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		if f.Exit {
			s.notify(f)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
