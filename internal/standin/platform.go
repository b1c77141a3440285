package standin

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"foxtailhub.example/foxtailhub/internal/platform/platformhttp"
)

// DefaultEntryTTL is the lifetime of an instance's list entry without a renewal.
const DefaultEntryTTL = 30 * time.Second

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 64 << 20

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	ReadsPerSecond  float64       // limit over all reads; 0: none
	WritesPerSecond float64       // limit over all writes; 0: none
	EntryTTL        time.Duration // lifetime of list entries of instances; default 30 s
	Seed            uint64        // of the random choice for lose_rate
}

// PlatformCounters holds the request counters of a Platform. GET /counters returns it.
type PlatformCounters struct {
	Reads         int64 `json:"reads"`         // reads of rows, objects and the list
	Writes        int64 `json:"writes"`        // commits (each counts once), writes of objects and list entries
	Transactions  int64 `json:"transactions"`  // transactions in commits
	RequestBytes  int64 `json:"request_bytes"` // size of request bodies
	ResponseBytes int64 `json:"answer_bytes"`  // size of response bodies
	Rows          int64 `json:"rows"`          // current number of rows in the table
	Refused       int64 `json:"refused"`       // requests rejected by a fault or a limit, without effect
}

// Platform is a stand-in for the platform: table service, object store and
// instance list behind one http.Handler.
type Platform struct {
	table   *table
	objects *objects
	list    *memberList
	faults  *FaultSwitch
	mux     *http.ServeMux
	reads   *rate.Limiter
	writes  *rate.Limiter

	readCount, writeCount, transactionCount, requestBytes, responseBytes, refused atomic.Int64

	mu      sync.Mutex    // guards changed and random
	changed chan struct{} // closed when the fault changes
	random  *rand.Rand
}

// NewPlatform returns a Platform without rows, objects and list entries.
func NewPlatform(cfg PlatformConfig) *Platform {
	if cfg.EntryTTL == 0 {
		cfg.EntryTTL = DefaultEntryTTL
	}
	p := &Platform{
		table:   newTable(),
		objects: &objects{data: map[string][]byte{}},
		list:    newMemberList(cfg.EntryTTL),
		mux:     http.NewServeMux(),
		reads:   newLimiter(cfg.ReadsPerSecond),
		writes:  newLimiter(cfg.WritesPerSecond),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	p.faults = NewFaultSwitch(func(Fault) { p.notifyFaultChange() })
	p.routes()
	return p
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

func (p *Platform) routes() {
	p.mux.HandleFunc("GET "+platformhttp.PathRow, p.read(p.table.serveRow))
	p.mux.HandleFunc("GET "+platformhttp.PathRows, p.read(p.table.serveRows))
	p.mux.HandleFunc("POST "+platformhttp.PathCommit, p.write(p.commit))
	p.mux.HandleFunc("GET "+platformhttp.PathObjects+"{name}", p.read(p.objects.serveGet))
	p.mux.HandleFunc("PUT "+platformhttp.PathObjects+"{name}", p.write(p.objects.servePut))
	p.mux.HandleFunc("GET "+platformhttp.PathList, p.read(p.serveList))
	p.mux.HandleFunc("PUT "+platformhttp.PathInstances+"{id}", p.write(p.list.servePut(kindInstance)))
	p.mux.HandleFunc("DELETE "+platformhttp.PathInstances+"{id}", p.write(p.list.serveDelete(kindInstance)))
	p.mux.HandleFunc("PUT "+platformhttp.PathUpstreams+"{id}", p.write(p.list.servePut(kindUpstream)))
	p.mux.HandleFunc("DELETE "+platformhttp.PathUpstreams+"{id}", p.write(p.list.serveDelete(kindUpstream)))
	p.mux.HandleFunc("GET /counters", p.serveCounters)
	p.mux.Handle("/fault", p.faults)
}

// Faults returns the fault switch.
func (p *Platform) Faults() *FaultSwitch { return p.faults }

// ServeHTTP serves the platform's services, /counters and /fault. Faults and
// limits do not apply to /counters and /fault.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Counters returns the current values of the counters.
func (p *Platform) Counters() PlatformCounters {
	return PlatformCounters{
		Reads: p.readCount.Load(), Writes: p.writeCount.Load(), Transactions: p.transactionCount.Load(),
		RequestBytes: p.requestBytes.Load(), ResponseBytes: p.responseBytes.Load(),
		Rows: p.table.size(), Refused: p.refused.Load(),
	}
}

func (p *Platform) serveCounters(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counters()) }

// response is the HTTP status and body that an operation returns.
type response struct {
	status int
	body   []byte
}

// operation reads or changes the platform's state. It does not block on faults.
type operation func(r *http.Request, body []byte) response

func (p *Platform) read(op operation) http.HandlerFunc {
	return p.serve(op, p.reads, &p.readCount, func(r *http.Request) context.Context { return r.Context() })
}

// write executes a delayed request even if its sender disconnected: a write
// whose request timed out may take effect later.
func (p *Platform) write(op operation) http.HandlerFunc {
	return p.serve(op, p.writes, &p.writeCount, func(r *http.Request) context.Context {
		return context.WithoutCancel(r.Context())
	})
}

func (p *Platform) serve(op operation, limit *rate.Limiter, count *atomic.Int64, waitContext func(*http.Request) context.Context) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.waitForFault(waitContext(r))
		if p.faults.Current().Refuse || !limit.Allow() {
			p.refuse(w)
			return
		}
		count.Add(1)
		p.requestBytes.Add(int64(len(body)))
		result := op(r, body)
		if p.dropsResponse() {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		p.responseBytes.Add(int64(len(result.body)))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(result.status)
		_, _ = w.Write(result.body) // the client may have disconnected
	}
}

func (p *Platform) refuse(w http.ResponseWriter) {
	p.refused.Add(1)
	w.Header().Set(platformhttp.EffectHeader, platformhttp.EffectNone)
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// waitForFault waits while the platform is paused and then for the delay slow_ms.
func (p *Platform) waitForFault(ctx context.Context) {
	for {
		changed := p.faultChangeSignal()
		if !p.faults.Current().Pause {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	delay := time.NewTimer(time.Duration(p.faults.Current().DelayMS) * time.Millisecond)
	defer delay.Stop()
	select {
	case <-ctx.Done():
	case <-delay.C:
	}
}

func (p *Platform) faultChangeSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *Platform) notifyFaultChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) dropsResponse() bool {
	fault := p.faults.Current()
	p.mu.Lock()
	defer p.mu.Unlock()
	return fault.DropResponse || (fault.DropResponseRate > 0 && p.random.Float64() < fault.DropResponseRate)
}

func (p *Platform) commit(r *http.Request, body []byte) response {
	var request platformhttp.CommitRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return response{status: http.StatusBadRequest}
	}
	p.transactionCount.Add(int64(len(request.Transactions)))
	return jsonResponse(platformhttp.CommitResponse{Results: p.table.commit(request.Transactions)})
}

func (p *Platform) serveList(*http.Request, []byte) response {
	lag := time.Duration(p.faults.Current().LagMS) * time.Millisecond
	return jsonResponse(p.list.at(time.Now(), lag))
}

func jsonResponse(value any) response {
	body, err := json.Marshal(value)
	if err != nil {
		return response{status: http.StatusInternalServerError, body: []byte(err.Error())}
	}
	return response{status: http.StatusOK, body: body}
}
