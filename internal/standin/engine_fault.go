package standin

import (
	"net/http"
	"time"

	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
)

// exitCode is the exit status of an engine that exits because of a fault.
const exitCode = 1

// applyFault applies faults that take effect immediately or on running streams.
func (e *Engine) applyFault(fault Fault) {
	if fault.Exit {
		e.exitProcess()
		return
	}
	e.mu.Lock()
	e.setPaused(fault.Pause)
	e.exitAt = 0
	if fault.ExitAfterTokens > 0 {
		e.exitAt = e.counters.TokensGenerated + fault.ExitAfterTokens
	}
	e.recordLoad()
	e.mu.Unlock()
	if e.config.Connections == nil {
		return
	}
	// The engine itself implements the fault pause: a paused listener would
	// also block the request that clears the fault.
	if fault.Cut {
		e.config.Connections.CutConnections()
	}
	if fault.Silence {
		e.config.Connections.SilenceConnections()
	}
}

// setPaused creates or removes pauseGate. No stream or request makes progress
// while it exists. It must be called with e.mu held.
func (e *Engine) setPaused(paused bool) {
	if paused && e.pauseGate == nil {
		e.pauseGate = make(chan struct{})
	}
	if !paused && e.pauseGate != nil {
		close(e.pauseGate)
		e.pauseGate = nil
	}
}

// waitWhilePaused waits until the engine is not paused. It returns false if the
// engine or the request ended first.
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

// exitProcess exits before it ends the streams. In the other order a caller that
// lost its stream could still connect to the port of the exiting process.
func (e *Engine) exitProcess() {
	e.config.Exit(exitCode)
	e.Close()
}

// withFaults applies the faults slow_ms, pause and refuse, which affect whole requests.
func (e *Engine) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := e.faults.Current()
		if fault.DelayMS > 0 {
			select {
			case <-time.After(time.Duration(fault.DelayMS) * time.Millisecond):
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
