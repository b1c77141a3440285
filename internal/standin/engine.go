package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
)

// ConnectionFaults injects faults into the connections of a listener.
type ConnectionFaults interface {
	CutConnections()     // closes all open connections
	SilenceConnections() // stops all traffic on the open connections permanently
}

// EngineConfig describes an engine stand-in. Zero values take the defaults.
type EngineConfig struct {
	// Models lists the models that the engine serves at its start.
	Models []upstream.ModelPin
	// Slots is the number of streams that run concurrently. Default 8.
	Slots int
	// TokenInterval is the time between two tokens of a stream. Default 20 ms.
	TokenInterval time.Duration
	// PrefillPerToken is the time to compute one prompt token that is not cached. Default 50 µs.
	PrefillPerToken time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of 16 tokens. Default 4096.
	CacheBlocks int
	// UnreadLifetime is how long a stream continues without a reader. Default 30 s.
	UnreadLifetime time.Duration
	// EndedLifetime is how long a stream can be resumed after its end. Default 60 s.
	EndedLifetime time.Duration
	// LoadLag is the age of load reports. Default 0. The fault lag_ms replaces it.
	LoadLag time.Duration
	// ModelLoadTime is how long an order to load a model takes. Default 0.
	ModelLoadTime time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Exit ends the process. It may return in tests; the engine then aborts
	// all further requests. Required.
	Exit func(code int)
	// Connections implements the faults cut and silence. If it is nil, they
	// have no effect.
	Connections ConnectionFaults
}

func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.Slots, 8)
	setDefault(&c.TokenInterval, 20*time.Millisecond)
	setDefault(&c.PrefillPerToken, 50*time.Microsecond)
	setDefault(&c.CacheBlocks, 4096)
	setDefault(&c.UnreadLifetime, 30*time.Second)
	setDefault(&c.EndedLifetime, time.Minute)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EngineCounters holds the counters of an engine since its start.
type EngineCounters struct {
	TokensGenerated        int64 `json:"tokens_generated"`
	PrefixTokensRecomputed int64 `json:"prefix_tokens_recomputed"` // tokens of StreamRequest.Prefix that were not cached
	PrefillTokens          int64 `json:"prefill_tokens"`           // prompt and prefix tokens that were not cached
	StreamsStarted         int64 `json:"streams_started"`
	StreamsResumed         int64 `json:"streams_resumed"`
	StreamsCancelled       int64 `json:"streams_cancelled"`
	CacheHits              int64 `json:"cache_hits"` // streams with a cached prefix
	CacheHitTokens         int64 `json:"cache_hit_tokens"`
}

// Engine is a stand-in for a model engine with continuous batching. It serves
// the protocol of package enginehttp, /fault, /counters and /v1/orders.
type Engine struct {
	config      EngineConfig
	incarnation upstream.Incarnation
	nonce       string
	faults      *FaultSwitch
	mux         *http.ServeMux
	newWork     chan struct{}
	closed      chan struct{}
	closeOnce   sync.Once

	mu          sync.Mutex // guards all fields below
	pauseGate   chan struct{}
	exitAt      int64 // value of TokensGenerated at which the engine exits; 0: never
	lastSweep   time.Time
	streams     map[upstream.StreamID]*engineStream
	queue       []*engineStream
	running     []*engineStream
	cache       *prefixCache
	loadReports loadReportHistory
	models      []upstream.ModelPin
	role        string
	fencing     int64
	counters    EngineCounters
}

// NewEngine starts an engine. Close stops it.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		config:      config.withDefaults(),
		incarnation: upstream.Incarnation(uuid.NewString()),
		nonce:       uuid.NewString()[:4],
		mux:         http.NewServeMux(),
		newWork:     make(chan struct{}, 1),
		closed:      make(chan struct{}),
		streams:     make(map[upstream.StreamID]*engineStream),
		models:      slices.Clone(config.Models),
		role:        "serve",
	}
	e.cache = newPrefixCache(e.config.CacheBlocks)
	e.faults = NewFaultSwitch(e.applyFault)
	e.recordLoad()
	e.routes()
	go e.runBatches()
	return e
}

// Faults returns the fault switch of the engine.
func (e *Engine) Faults() *FaultSwitch { return e.faults }

// Incarnation returns the random identifier of this start of the engine.
func (e *Engine) Incarnation() upstream.Incarnation { return e.incarnation }

// Counters returns a copy of the engine's counters.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Close stops the engine like a crash: it aborts all responses in progress.
func (e *Engine) Close() {
	e.closeOnce.Do(func() { close(e.closed) })
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) routes() {
	e.mux.Handle("/fault", e.faults)
	e.mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counters()) })
	e.mux.HandleFunc("POST "+enginehttp.StreamsPath, e.withFaults(e.serveStart))
	e.mux.HandleFunc("GET "+enginehttp.StreamsPath+"/{id}", e.withFaults(e.serveResume))
	e.mux.HandleFunc("DELETE "+enginehttp.StreamsPath+"/{id}", e.withFaults(e.serveCancel))
	e.mux.HandleFunc("GET "+enginehttp.LoadPath, e.withFaults(e.serveLoad))
	e.mux.HandleFunc("POST /v1/orders", e.withFaults(e.serveOrder))
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	lag := e.config.LoadLag
	if fault := e.faults.Current(); fault.LagMS > 0 {
		lag = time.Duration(fault.LagMS) * time.Millisecond
	}
	e.mu.Lock()
	report := e.loadReports.at(time.Now().Add(-lag))
	e.mu.Unlock()
	writeJSON(w, report)
}

// recordLoad adds the current load to the history of load reports. It must be
// called with e.mu held, after each change of the load.
func (e *Engine) recordLoad() {
	e.loadReports.record(time.Now(), upstream.LoadReport{
		Incarnation: e.incarnation,
		Leaving:     e.faults.Current().Leaving,
		Running:     len(e.running),
		Queued:      len(e.queue),
		Slots:       e.config.Slots,
		Models:      slices.Clone(e.models),
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
