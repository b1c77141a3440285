package emulator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	ID               string
	Service          string
	FailureDomain    string
	Address          string // advertised in the store
	Store            string // address of the store
	Engine           bool
	Slots            int
	WorkDuration     time.Duration  // processing time of a call, or of prefill at a model server
	EventInterval    time.Duration  // time between events of a stream
	RegisterInterval time.Duration  // time between writes of the entry in the store
	RunLog           io.Writer      // receives a line for each request that arrives, runs or is refused by pushback
	Exit             func(code int) // ends the process when a request crashes it
}

// PoisonBodyPrefix is the prefix of request bodies that crash each server that runs
// them (poison prompts).
const PoisonBodyPrefix = "deadly"

// PoisonPartPrefix is the prefix of the IDs of prompt parts that crash each model server
// that begins to write a response to a prompt with them.
const PoisonPartPrefix = "deadly-part"

// exitCrashed is the exit code of a server that a request crashed.
const exitCrashed = 3

// Server is a plain server or a model server.
type Server struct {
	config    ServerConfig
	startedAt int64
	client    *http.Client

	mu            sync.Mutex // guards the fields below
	draining      bool
	fault         ServerFault
	silentUntil   time.Time // zero: not silent so far
	active        int
	prefilling    int
	queued        int
	runs          map[string]*runState // by request ID
	kvCopies      map[string]int       // events covered by the KV copies held here, by copy name
	cachedPrompts map[string]int       // tokens of the cached prompts, by ID of their last part
}

// runState is the progress of a run at a model server.
type runState struct {
	events int
}

// NewServer returns a server whose start time is now.
func NewServer(config ServerConfig) *Server {
	return &Server{
		config: config, startedAt: time.Now().UnixMilli(), client: &http.Client{Timeout: time.Second},
		runs: map[string]*runState{}, kvCopies: map[string]int{}, cachedPrompts: map[string]int{},
	}
}

// Register writes the server's entry to the store periodically until ctx ends.
func (s *Server) Register(ctx context.Context) {
	ticker := time.NewTicker(s.config.RegisterInterval)
	defer ticker.Stop()
	for {
		switch {
		case s.isSilent():
		case s.currentFault().Withdrawn:
			s.removeEntry(ctx)
		default:
			_ = s.writeEntry(ctx) // retried at the next tick
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) writeEntry(ctx context.Context) error {
	s.mu.Lock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": s.config.Service, "address": s.config.Address, "zone": s.config.FailureDomain,
		"slots": s.config.Slots, "state": state, "born": s.startedAt,
	})
	if err != nil {
		return err
	}
	return WriteRow(ctx, s.client, s.config.Store, "servers", s.config.ID, entry)
}

// removeEntry removes the server's entry, and records the time when it is removed.
func (s *Server) removeEntry(ctx context.Context) {
	if err := WriteRow(ctx, s.client, s.config.Store, "servers", s.config.ID, nil); err != nil {
		return // retried at the next tick
	}
	_, _ = fmt.Fprintf(s.config.RunLog, "withdrawn server=%s at_us=%d\n", s.config.ID, time.Now().UnixMicro())
}

// Drain makes the server report that it is draining.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// WriteRow writes a row to the store, or removes it if the value is nil.
func WriteRow(ctx context.Context, client *http.Client, store, table, key string, value []byte) error {
	tx := transaction{Set: []row{{Table: table, Key: key, Value: value}}}
	if value == nil {
		tx = transaction{Remove: []row{{Table: table, Key: key}}}
	}
	return postJSON(ctx, client, "http://"+store+"/v1/rows-tx", tx)
}

// postJSON sends a value as JSON and expects status 200.
func postJSON(ctx context.Context, client *http.Client, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s returned status %d", url, response.StatusCode)
	}
	return nil
}

// ServeHTTP serves requests, health checks and the calls of model servers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == faultPath {
		s.setFault(w, r)
		return
	}
	s.awaitSilenceEnd()
	defer s.awaitSilenceEnd() // net/http sends the end of the response after the return
	w = &silenceableWriter{ResponseWriter: w, server: s}
	fault := s.currentFault()
	w.Header().Set("X-Instance-Id", s.config.ID)
	if fault.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if fault.RequestRate != "" {
		w.Header().Set("Server-Limit", fault.RequestRate)
		if !s.config.Engine || !strings.HasPrefix(r.URL.Path, "/v1/") {
			s.logArrival(r)
		}
	}
	controlCall := r.URL.Path == "/healthz" || s.config.Engine && strings.HasPrefix(r.URL.Path, "/v1/")
	switch {
	case controlCall && fault.Endless == EndlessReport:
		writeEndlessly(w)
	case r.URL.Path == "/healthz":
		s.serveHealth(w)
	case s.config.Engine && s.serveEngineCall(w, r):
	default:
		s.serveRequest(w, r)
	}
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveRequest runs a request. It refuses requests for another instance, during
// pushback and when all slots are in use.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.config.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(s.config.RunLog, "arrived request=%s server=%s at_us=%d\n", id, s.config.ID, time.Now().UnixMicro())
	fault := s.currentFault()
	switch {
	case fault.PushbackMS > 0:
		s.logRefusal(id)
		s.writePushback(w, fault.PushbackMS)
		return
	case fault.Endless == EndlessHead:
		writeHeadEndlessly(w)
		return
	case fault.Endless == EndlessRefusal:
		refuseEndlessly(w)
		return
	}
	if !s.acquireSlot() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	if fault.Unframed != "" {
		unframed, err := newUnframedWriter(w, fault.Unframed, s.config.Engine)
		if err != nil {
			return
		}
		defer unframed.Close()
		defer s.awaitSilenceEnd()
		w = &silenceableWriter{ResponseWriter: unframed, server: s}
	}
	if bytes.HasPrefix(body, []byte(PoisonBodyPrefix)) {
		s.logRun(r, id, body)
		s.config.Exit(exitCrashed)
	}
	if fault.Endless == EndlessBody {
		s.logRun(r, id, body)
		s.respondEndlessly(w)
		return
	}
	if s.config.Engine {
		s.serveStream(w, r, id, body)
		return
	}
	s.logRun(r, id, body)
	if !sleep(r, s.config.WorkDuration) {
		return
	}
	w.Header().Set("X-Server-Stamp", s.config.ID)
	_, _ = io.WriteString(w, ResponseBody(body, r.URL.RequestURI())) // an error means that the caller disconnected
}

// logRun records that the request runs. It writes the line before any output, so
// that the record survives a kill of the process.
func (s *Server) logRun(r *http.Request, id string, body []byte) {
	_, _ = fmt.Fprintf(s.config.RunLog, "ran request=%s server=%s workspace=%q path=%q digest=%s forged=%q\n",
		id, s.config.ID, r.Header.Get("X-Tenant"), r.URL.RequestURI(), Digest(body), r.Header.Get("X-Hold")+r.Header.Get("Authorization"))
}

// logCrash records that a request ends the process.
func (s *Server) logCrash(id string) {
	_, _ = fmt.Fprintf(s.config.RunLog, "crashed request=%s server=%s at_us=%d\n", id, s.config.ID, time.Now().UnixMicro())
}

// logArrival records the time at which a request or a health check arrives while the
// server states a request rate.
func (s *Server) logArrival(r *http.Request) {
	_, _ = fmt.Fprintf(s.config.RunLog, "limited at_us=%d request=%s server=%s\n", time.Now().UnixMicro(), r.Header.Get("X-Attempt-Id"), s.config.ID)
}

// logRefusal records a request that is refused with a Retry-After time.
func (s *Server) logRefusal(id string) {
	_, _ = fmt.Fprintf(s.config.RunLog, "refused request=%s server=%s\n", id, s.config.ID)
}

func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.config.Slots {
		return false
	}
	s.active++
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// Digest returns a short SHA-256 digest of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// ResponseBody returns the response body of a plain server, which depends only on the
// request.
func ResponseBody(body []byte, path string) string {
	return "answer " + path + " " + Digest(body) + "\n"
}

// EventText returns the SSE event with a number in the response to a body. It is the
// same on all model servers.
func EventText(body []byte, number int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", Digest(body), number))
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, hex.EncodeToString(sum[:12]))
}
