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

// What a server in trouble sends without end.
const (
	EndlessHead    = "head"    // of the answer to a request
	EndlessBody    = "body"    // of a success
	EndlessRefusal = "refusal" // the body of an answer that says that the request has not run
	EndlessReport  = "report"  // answers to the calls of model servers, and to health checks
)

// What a model server sends after it has stalled.
const (
	ChatterComments = "comments"
	ChatterOldEvent = "old event"
)

// eventsBeforeStall is the number of events after which a stream of a model server that
// chatters stalls.
const eventsBeforeStall = 10

// stallOutputInterval is the time between two pieces of chatter.
const stallOutputInterval = 200 * time.Millisecond

// faultPath is where a server is told its trouble.
const faultPath = "/emulator/fault"

// ServerFault is how a server misbehaves. The zero value is a server that is well.
type ServerFault struct {
	Leaving    bool   `json:"leaving"`      // it says in all answers that it leaves, not in the store
	PushBackMS int    `json:"push_back_ms"` // it refuses all requests, and names this time to come back
	Endless    string `json:"endless"`      // empty: nothing
	Chatter    string `json:"chatter"`      // empty: none
}

// SetFault tells the server at an address how to misbehave.
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
}

func (s *Server) currentFault() ServerFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// writePushback refuses a request and names a time to come back.
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

// respondEndlessly answers a request with a success whose body has no end.
func (s *Server) respondEndlessly(w http.ResponseWriter) {
	w.Header().Set("X-Server-Stamp", s.config.ID)
	w.WriteHeader(http.StatusOK)
	writeEndlessly(w)
}

// writeHeadEndlessly writes a head without end.
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

// writeStallOutput sends what brings a caller no further until it leaves.
func writeStallOutput(w http.ResponseWriter, r *http.Request, kind string, body []byte) {
	text := ": still here\n\n"
	if kind == ChatterOldEvent {
		text = Event(body, 1)
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
