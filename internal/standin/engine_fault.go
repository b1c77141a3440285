package standin

import (
	"net/http"
	"time"

	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
)

// exitCode is the exit status of a stand-in that dies by a fault.
const exitCode = 1

// applyFault puts a fault in force that acts at once or on what runs.
func (e *Engine) applyFault(fault Fault) {
	if fault.Die {
		e.exitProcess()
		return
	}
	e.mu.Lock()
	e.setPaused(fault.Pause)
	e.exitAt = 0
	if fault.DieAfter > 0 {
		e.exitAt = e.counters.TokensGenerated + fault.DieAfter
	}
	e.recordLoad()
	e.mu.Unlock()
	if e.config.Connections == nil {
		return
	}
	// The fault pause is carried out by the engine itself: a pause of the
	// listener would also hold back the request that clears the fault.
	if fault.Cut {
		e.config.Connections.Cut()
	}
	if fault.Silence {
		e.config.Connections.Silence()
	}
}

// setPaused must be called with e.mu held. While the gate exists, nothing runs.
func (e *Engine) setPaused(paused bool) {
	if paused && e.pauseGate == nil {
		e.pauseGate = make(chan struct{})
	}
	if !paused && e.pauseGate != nil {
		close(e.pauseGate)
		e.pauseGate = nil
	}
}

// waitWhilePaused returns false if the engine or the request ended first.
func (e *Engine) waitWhilePaused(done <-chan struct{}) bool {
	for {
		e.mu.Lock()
		gate := e.pauseGate
		e.mu.Unlock()
		if gate == nil {
			return true
		}
		select {
		case <-gate:
		case <-done:
			return false
		case <-e.closed:
			return false
		}
	}
}

// exitProcess exits before it ends the streams: otherwise callers that have lost them
// still reach the port of a process that is gone.
func (e *Engine) exitProcess() {
	e.config.Exit(exitCode)
	e.Close()
}

// withFaults applies the faults that concern whole requests.
func (e *Engine) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := e.faults.Current()
		if fault.SlowMS > 0 {
			select {
			case <-time.After(time.Duration(fault.SlowMS) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		if !e.waitWhilePaused(r.Context().Done()) {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-e.closed:
			panic(http.ErrAbortHandler)
		default:
		}
		w.Header().Set(enginehttp.IncarnationHeader, string(e.incarnation))
		if fault.Refuse {
			writeRefusal(w, enginehttp.StateRefused, "the engine refuses all requests")
			return
		}
		next(w, r)
	}
}

func writeRefusal(w http.ResponseWriter, state, message string) {
	w.Header().Set(enginehttp.StateHeader, state)
	http.Error(w, message, http.StatusServiceUnavailable)
}
