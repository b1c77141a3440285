package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Parts of a response that a faulty server sends without end.
const (
	EndlessHead    = "head"    // head of the response to a request
	EndlessBody    = "body"    // body of a successful response
	EndlessRefusal = "refusal" // body of a refusal, which states that the request was not executed
	EndlessReport  = "report"  // responses to health checks and to calls under /v1/ of a model server
)

// Output of a model server on a stalled stream.
const (
	StallComments = "comments"
	StallOldEvent = "old event"
)

// Responses with neither a length nor chunks, which end with their connection.
const (
	UnframedWhole = "whole"
	// UnframedReset ends the connection with a reset in the middle of the response.
	UnframedReset = "reset"
	// UnframedCut closes the connection inside an event. Responses of plain servers are whole.
	UnframedCut = "cut"
)

// eventsBeforeStall is the number of events after which a stream stalls at a
// server with the fault StallOutput.
const eventsBeforeStall = 10

// stallOutputInterval is the time between two writes on a stalled stream.
const stallOutputInterval = 200 * time.Millisecond

// faultPath is the path at which the fault of a server is set.
const faultPath = "/emulator/fault"

// ServerFault is an injected fault of a server. The zero value means no fault.
type ServerFault struct {
	Leaving     bool   `json:"leaving"`      // report leaving in all responses, but not in the store
	PushbackMS  int    `json:"push_back_ms"` // refuse all requests with this Retry-After time
	Endless     string `json:"endless"`      // part of the response sent without end; empty: none
	StallOutput string `json:"chatter"`      // output of stalled streams; empty: streams do not stall
	RequestRate string `json:"request_rate"` // request rate stated in all responses, in requests a second; empty: none
	Unframed    string `json:"unframed"`     // how responses without a length end; empty: responses are framed
	// SilenceMS is how long the server stands still from now on, like a paused process.
	// The silence ends by itself; other faults do not end it.
	SilenceMS int `json:"silence_ms"`
	// Withdrawn removes the server's entry in the store, again whenever it reappears. The server
	// goes on to serve requests.
	Withdrawn bool `json:"withdrawn"`
}

// SetFault sets the fault of the server at an address.
func SetFault(ctx context.Context, client *http.Client, address string, fault ServerFault) error {
	return postJSON(ctx, client, "http://"+address+faultPath, fault)
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var fault ServerFault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if fault.SilenceMS > 0 {
		s.silentUntil = time.Now().Add(time.Duration(fault.SilenceMS) * time.Millisecond)
	}
}

func (s *Server) currentFault() ServerFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// writePushback refuses a request with a Retry-After time.
func (s *Server) writePushback(w http.ResponseWriter, ms int) {
	w.Header().Set("Retry-After", strconv.FormatFloat(float64(ms)/1000, 'f', 3, 64))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refuseEndlessly refuses a request with a body without end.
func refuseEndlessly(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	writeEndlessly(w)
}

// respondEndlessly sends a successful response whose body has no end.
func (s *Server) respondEndlessly(w http.ResponseWriter) {
	w.Header().Set("X-Server-Stamp", s.config.ID)
	w.WriteHeader(http.StatusOK)
	writeEndlessly(w)
}

// writeHeadEndlessly writes a response head without end.
func writeHeadEndlessly(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Filler: "); err == nil {
		writeEndlessly(conn)
	}
}

// writeEndlessly writes until the connection is closed.
func writeEndlessly(w io.Writer) {
	for filler := bytes.Repeat([]byte("x"), 16<<10); ; {
		if _, err := w.Write(filler); err != nil {
			return
		}
	}
}

// writeStallOutput sends output without progress until the caller disconnects.
func writeStallOutput(w http.ResponseWriter, r *http.Request, kind string, body []byte) {
	text := ": still here\n\n"
	if kind == StallOldEvent {
		text = EventText(body, 1)
	}
	for sleep(r, stallOutputInterval) {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}
