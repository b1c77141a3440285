package standin

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/servicehttp"
)

const (
	defaultServiceSlots = 8
	serviceBodyLimit    = 2 << 20
	// loadSampleLimit is the least number of past load samples kept for reports
	// with a lag.
	loadSampleLimit = 4096
)

// ServiceConfig holds the settings of a Service.
type ServiceConfig struct {
	// Slots is the reported limit of concurrent calls. It is not enforced.
	// Default 8.
	Slots int
	// Connections implements the faults cut and silence. If it is nil, they
	// have no effect.
	Connections *Listener
	// Exit ends the process for the fault die. Default os.Exit(1).
	Exit func()
}

// Execution counts the executions of calls with one idempotency key.
type Execution struct {
	Key   string `json:"key"`
	Path  string `json:"path"`
	Count int    `json:"count"`
}

// ExecutionReport is the response to GET /executions.
type ExecutionReport struct {
	Executions []Execution `json:"executions"`
	Queries    int         `json:"queries"` // GET requests to other paths
}

// Service is a stand-in for a plain service: a GET request is a query, any other
// request executes a call. It counts the executions of each idempotency key.
type Service struct {
	config      ServiceConfig
	faults      *FaultSwitch
	incarnation upstream.Incarnation
	mux         *http.ServeMux

	mu          sync.Mutex // guards the fields below
	executions  map[string]*Execution
	queries     int
	running     int
	loadSamples []loadSample
	pauseGate   chan struct{} // closed when a pause ends; nil if not paused
}

type loadSample struct {
	at      time.Time
	running int
	leaving bool
}

// NewService returns a Service without a fault.
func NewService(config ServiceConfig) *Service {
	if config.Slots == 0 {
		config.Slots = defaultServiceSlots
	}
	if config.Exit == nil {
		config.Exit = func() { os.Exit(1) }
	}
	s := &Service{
		config:      config,
		incarnation: upstream.Incarnation(uuid.NewString()),
		mux:         http.NewServeMux(),
		executions:  map[string]*Execution{},
	}
	s.faults = NewFaultSwitch(s.applyFault)
	s.mux.Handle(faultPath, s.faults)
	s.mux.HandleFunc("GET /executions", s.serveExecutions)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// Faults returns the fault switch.
func (s *Service) Faults() *FaultSwitch { return s.faults }

// ServeHTTP serves calls, queries, the reports and the fault switch.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(servicehttp.HeaderIncarnation, string(s.incarnation))
	s.mux.ServeHTTP(w, r)
}

// Executions returns the executions, sorted by key.
func (s *Service) Executions() ExecutionReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := ExecutionReport{Executions: []Execution{}, Queries: s.queries}
	for _, e := range s.executions {
		report.Executions = append(report.Executions, *e)
	}
	slices.SortFunc(report.Executions, func(a, b Execution) int { return strings.Compare(a.Key, b.Key) })
	return report
}

// applyFault applies the faults that take effect when they are set. The service
// itself implements a pause: a paused listener would also block the request that
// ends the pause.
func (s *Service) applyFault(f Fault) {
	if f.Exit {
		s.config.Exit()
		return
	}
	s.mu.Lock()
	if f.Pause && s.pauseGate == nil {
		s.pauseGate = make(chan struct{})
	}
	if !f.Pause && s.pauseGate != nil {
		close(s.pauseGate)
		s.pauseGate = nil
	}
	s.sampleLocked()
	s.mu.Unlock()
	if s.config.Connections == nil {
		return
	}
	if f.Cut {
		s.config.Connections.CutConnections()
	}
	if f.Silence {
		s.config.Connections.SilenceConnections()
	}
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeServiceJSON(w, s.Executions())
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !s.waitWhilePaused(r) {
		panic(http.ErrAbortHandler)
	}
	f := s.faults.Current()
	if f.Refuse {
		refuseCall(w, servicehttp.StateRefused)
		return
	}
	sample := s.sampleAt(time.Now().Add(-time.Duration(f.LagMS) * time.Millisecond))
	writeServiceJSON(w, upstream.LoadReport{
		Incarnation: s.incarnation,
		Leaving:     sample.leaving,
		Running:     sample.running,
		Slots:       s.config.Slots,
	})
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serviceBodyLimit))
	if err != nil {
		panic(http.ErrAbortHandler) // the request body is incomplete or too large
	}
	if !s.waitWhilePaused(r) {
		panic(http.ErrAbortHandler)
	}
	f := s.faults.Current()
	switch {
	case f.Leaving:
		refuseCall(w, servicehttp.StateLeaving)
		return
	case f.Refuse:
		refuseCall(w, servicehttp.StateRefused)
		return
	}
	count := s.beginRequest(r)
	defer s.endRequest()
	if f.ExitOnPrompt != "" && strings.Contains(string(body), f.ExitOnPrompt) {
		s.config.Exit()
	}
	s.delay(r, time.Duration(f.DelayMS)*time.Millisecond)
	if !s.waitWhilePaused(r) || f.DropResponse || f.DropResponseRate > rand.Float64() {
		panic(http.ErrAbortHandler)
	}
	writeServiceJSON(w, Execution{Key: r.Header.Get(servicehttp.HeaderIdempotencyKey), Path: r.URL.Path, Count: count})
}

// beginRequest executes the request and returns the number of executions of its
// key, 0 for a query.
func (s *Service) beginRequest(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.sampleLocked()
	if r.Method == http.MethodGet {
		s.queries++
		return 0
	}
	key := r.Header.Get(servicehttp.HeaderIdempotencyKey)
	e := s.executions[key]
	if e == nil {
		e = &Execution{Key: key, Path: r.URL.Path}
		s.executions[key] = e
	}
	e.Count++
	return e.Count
}

func (s *Service) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.sampleLocked()
}

func (s *Service) delay(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// waitWhilePaused waits until the service is not paused. It returns false if the
// request was cancelled first.
func (s *Service) waitWhilePaused(r *http.Request) bool {
	s.mu.Lock()
	gate := s.pauseGate
	s.mu.Unlock()
	if gate == nil {
		return true
	}
	select {
	case <-gate:
		return true
	case <-r.Context().Done():
		return false
	}
}

// sampleLocked records the current load. It must be called with s.mu held.
func (s *Service) sampleLocked() {
	sample := loadSample{at: time.Now(), running: s.running, leaving: s.faults.Current().Leaving}
	s.loadSamples = append(s.loadSamples, sample)
	if len(s.loadSamples) > 2*loadSampleLimit {
		s.loadSamples = slices.Clone(s.loadSamples[loadSampleLimit:])
	}
}

func (s *Service) sampleAt(at time.Time) loadSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.loadSamples) - 1; i >= 0; i-- {
		if !s.loadSamples[i].at.After(at) {
			return s.loadSamples[i]
		}
	}
	return loadSample{}
}

func refuseCall(w http.ResponseWriter, state string) {
	w.Header().Set(servicehttp.HeaderUpstreamState, state)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func writeServiceJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
