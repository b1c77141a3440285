package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// testProtocol is a minimal protocol with one header for each field.
type testProtocol struct{}

func (testProtocol) Metadata(header http.Header) Metadata {
	deadline, _ := strconv.Atoi(header.Get("Deadline"))
	last, _ := strconv.ParseInt(header.Get("Last"), 10, 64)
	return Metadata{
		ID: header.Get("Id"), APIKey: header.Get("Key"), Deadline: time.Duration(deadline) * time.Millisecond,
		LastEventID: last, PromptPartID: header.Get("Prompt"), PromptParts: strings.Split(header.Get("Parts"), ","), PromptTokens: 8000,
	}
}

func (testProtocol) RequestHeader(caller http.Header, attempt Attempt) http.Header {
	header := caller.Clone()
	header.Set("Upstream", attempt.Upstream.ID)
	header.Set("Left", strconv.FormatInt(attempt.TimeLeft.Milliseconds(), 10))
	header.Set("Last", strconv.FormatInt(attempt.LastEventID, 10))
	if attempt.BackupHolder != nil {
		header.Set("Backup", attempt.BackupHolder.Address)
	}
	if attempt.ResumeFrom != nil {
		header.Set("From", attempt.ResumeFrom.Address+"/"+attempt.ResumeFrom.RunID)
	}
	return header
}

func (testProtocol) ParseResponse(status int, header http.Header) ResponseHead {
	retryAfter, _ := time.ParseDuration(header.Get("Come-Back"))
	perSecond, rateErr := strconv.ParseFloat(header.Get("Rate"), 64)
	return ResponseHead{
		RequestID: header.Get("Id"), Signed: header.Get("Signature") != "", NotRun: header.Get("Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest, Encoded: header.Get("Content-Encoding") != "",
		Leaving: header.Get("Leaving") != "", RetryAfter: retryAfter,
		Rate: pool.RequestRate{Stated: rateErr == nil, PerSecond: perSecond},
	}
}

func (testProtocol) ResponseHeader(upstream http.Header) http.Header { return upstream.Clone() }

func (testProtocol) SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", after.String())
}

var (
	errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	errReset   = os.NewSyscallError("read", syscall.ECONNRESET)
)

// receivedRequest is one request as an upstream received it.
type receivedRequest struct {
	upstream string
	header   http.Header
	uri      string
	body     string
	ctx      context.Context
}

// behaviour is how an upstream responds to a request.
type behaviour func(req receivedRequest) (*http.Response, error)

// harness is a forwarder in front of upstreams whose behaviour a test sets.
type harness struct {
	t                *testing.T
	g                Gomega
	table            *route.Table
	pool             *pool.Pool
	f                *Forwarder
	log              *strings.Builder // read with logText while goroutines of the forwarder may write
	logWriter        *lockedWriter
	mu               sync.Mutex // guards the fields below
	behaviours       map[string]behaviour
	unresponsive     map[string]bool // do not respond to load reports and health checks
	startTimes       map[string]int64
	ids              map[string]string // by address, if different from the address
	leaving          map[string]bool   // by address
	cachedTokens     map[string]int    // tokens of the prompt, by address
	received         []receivedRequest
	copiesMade       []string // copies made, "source run to"
	copiesDropped    []string
	queued           map[string]int // queued streams, by address
	cacheLookups     int            // number of queries for a cached prompt
	healthChecks     []string       // addresses of health checks
	unansweredLoads  int            // number of queries for a load report without an answer
	storeUnreachable bool
	sharedCrashes    []poison.RequestCrash
	withdrawnCrashes []poison.RequestCrash
	claimedTrials    []int
}

const (
	testGoal   = 150 * time.Millisecond
	testMemory = 64 << 20
)

// newHarness returns a harness with the named upstreams, each in its own failure
// domain.
func newHarness(t *testing.T, r route.Route, engine bool, names ...string) *harness {
	h := &harness{
		t: t, g: NewWithT(t), pool: pool.New(), log: &strings.Builder{},
		behaviours: map[string]behaviour{}, unresponsive: map[string]bool{}, startTimes: map[string]int64{}, ids: map[string]string{}, leaving: map[string]bool{}, cachedTokens: map[string]int{}, queued: map[string]int{},
	}
	r.Host, r.Prefix = "host", "/"
	r.Targets = []route.Target{{Service: "service", Weight: 1}}
	if r.LatencyGoal == 0 {
		r.LatencyGoal = testGoal
	}
	service := route.Service{Name: "service", HealthPath: "/healthz"}
	if engine {
		service.Engine = &route.Engine{Slots: 8, HoldsKVCopies: true, KVCopyTTL: 4 * time.Second}
	}
	h.table = route.NewTable(route.Document{Version: 1, Routes: []route.Route{r}, Services: []route.Service{service}})
	var list []pool.Upstream
	for _, name := range names {
		list = append(list, pool.Upstream{ID: name, Service: "service", Address: name, FailureDomain: "domain-" + name, Slots: 8, StartedAt: 1})
	}
	h.pool.Replace(list)
	log := logrus.New()
	h.logWriter = &lockedWriter{w: h.log}
	log.SetOutput(h.logWriter)
	h.f = New(Config{
		Tables: h, Pool: h.pool, Protocol: testProtocol{}, Prober: h, KVCopier: h, PromptFinder: h,
		RetryBudgets: NewRetryBudgets(1), Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Drain: NewDrainState(), Transport: h, StoreUnreachable: func() bool { return h.storeUnreachable },
		Quarantine: poison.NewQuarantine(nil), CrashExchange: h, BodyMemory: NewBodyMemory(testMemory, log),
	})
	return h
}

type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// logText returns the log so far.
func (h *harness) logText() string {
	h.logWriter.mu.Lock()
	defer h.logWriter.mu.Unlock()
	return h.log.String()
}

func (h *harness) Current() *route.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table
}

// setTable puts another version of the configuration in force.
func (h *harness) setTable(table *route.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table = table
}

// RoundTrip passes a request to the upstream at its address.
func (h *harness) RoundTrip(r *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(r.Body)
	req := receivedRequest{upstream: r.URL.Host, header: r.Header, uri: r.URL.RequestURI(), body: string(body), ctx: r.Context()}
	h.mu.Lock()
	respond := h.behaviours[req.upstream]
	h.received = append(h.received, req)
	h.mu.Unlock()
	if respond == nil {
		return nil, errRefused
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	return respond(req)
}

func (h *harness) ShareCrash(c poison.RequestCrash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sharedCrashes = append(h.sharedCrashes, c)
}

func (h *harness) WithdrawCrash(c poison.RequestCrash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withdrawnCrashes = append(h.withdrawnCrashes, c)
}

// ClaimTrial lets the instance have each trial once.
func (h *harness) ClaimTrial(_ context.Context, content poison.Content, trial int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Contains(h.claimedTrials, trial) {
		return false
	}
	h.claimedTrials = append(h.claimedTrials, trial)
	h.f.Quarantine.RecordTrial(content, trial)
	return true
}

func (h *harness) isResponsive(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.unresponsive[address]
}

func (h *harness) Load(ctx context.Context, address string) (pool.LoadReport, error) {
	if !h.isResponsive(address) {
		h.mu.Lock()
		h.unansweredLoads++
		h.mu.Unlock()
		<-ctx.Done()
		return pool.LoadReport{}, ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return pool.LoadReport{StartedAt: h.startTimes[address], Leaving: h.leaving[address], Queued: h.queued[address]}, nil
}

func (h *harness) Health(ctx context.Context, address, _ string) (pool.HealthStatus, error) {
	if !h.isResponsive(address) {
		<-ctx.Done()
		return pool.HealthStatus{}, ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.healthChecks = append(h.healthChecks, address)
	health := pool.HealthStatus{ID: address, Ready: true, Leaving: h.leaving[address]}
	if id := h.ids[address]; id != "" {
		health.ID = id
	}
	return health, nil
}

func (h *harness) CopyKV(_ context.Context, source, run, to string) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copiesMade = append(h.copiesMade, source+" "+run+" "+to)
	return "copy-" + strconv.Itoa(len(h.copiesMade)), nil
}

func (h *harness) DropKVCopy(_ context.Context, source, name string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copiesDropped = append(h.copiesDropped, source+" "+name)
	return nil
}

func (h *harness) CachedTokens(_ context.Context, address, _ string) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cacheLookups++
	return h.cachedTokens[address], nil
}

func upstreamWithAddress(address string) pool.Upstream {
	return pool.Upstream{ID: address, Address: address}
}

// setBehaviour sets the behaviour of upstreams.
func (h *harness) setBehaviour(respond behaviour, names ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		h.behaviours[name] = respond
	}
}

// receivedBy returns the upstreams in the order in which they received requests.
func (h *harness) receivedBy() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, req := range h.received {
		names = append(names, req.upstream)
	}
	return names
}

func (h *harness) allReceived() []receivedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.received)
}

// allHealthChecks returns the addresses of all health checks.
func (h *harness) allHealthChecks() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.healthChecks)
}

func (h *harness) receivedAt(i int) receivedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received[i]
}

// callerResult is the response as the caller received it.
type callerResult struct {
	status   int
	header   http.Header
	body     string
	aborted  bool // the connection was closed before the end of the response
	duration time.Duration
}

// request sends a request and returns the result.
func (h *harness) request(ctx context.Context, header map[string]string) callerResult {
	return h.send(ctx, "body", header)
}

// requestWithBody sends a request with the given body.
func (h *harness) requestWithBody(ctx context.Context, body string) callerResult {
	return h.send(ctx, body, nil)
}

func (h *harness) send(ctx context.Context, body string, header map[string]string) (got callerResult) {
	r := httptest.NewRequest(http.MethodPost, "http://host/path/%2f?query=1", strings.NewReader(body)).WithContext(ctx)
	r.Header.Set("Id", "request-1")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	began := time.Now()
	defer func() {
		if value := recover(); value != nil {
			if value != http.ErrAbortHandler {
				panic(value)
			}
			got.aborted = true
		}
		got.status, got.header, got.body = recorder.Code, recorder.Header(), recorder.Body.String()
		got.duration = time.Since(began)
	}()
	h.f.ServeHTTP(recorder, r)
	return got
}

// response returns a signed response.
func response(status int, body string) *http.Response {
	return &http.Response{
		StatusCode: status, Header: http.Header{"Signature": {"signed"}, "Id": {"request-1"}},
		Body: io.NopCloser(strings.NewReader(body)),
	}
}

func respondWith(status int, body string) behaviour {
	return func(receivedRequest) (*http.Response, error) { return response(status, body), nil }
}

func respondAfter(d time.Duration, next behaviour) behaviour {
	return func(req receivedRequest) (*http.Response, error) {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
			return next(req)
		case <-req.ctx.Done():
			return nil, req.ctx.Err()
		}
	}
}

func resetConnection(receivedRequest) (*http.Response, error) { return nil, errReset }

func neverRespond(req receivedRequest) (*http.Response, error) {
	<-req.ctx.Done()
	return nil, req.ctx.Err()
}

// refuseAsNotRun refuses a request without running it.
func refuseAsNotRun(receivedRequest) (*http.Response, error) {
	r := response(http.StatusServiceUnavailable, "")
	r.Header.Set("Not-Run", "1")
	return r, nil
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id) }

func eventsText(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(eventText(id))
	}
	return b.String()
}

// sendEvents sends events from the one after the last event of the caller up to a number,
// an interval apart, and then ends with the given error.
func sendEvents(to int, interval time.Duration, end error) behaviour {
	return func(req receivedRequest) (*http.Response, error) {
		last, _ := strconv.Atoi(req.header.Get("Last"))
		end := end // the behaviour may serve several requests
		reader, writer := io.Pipe()
		go func() {
			for id := last + 1; id <= to; id++ {
				if !pause(req.ctx, interval) {
					_ = writer.CloseWithError(req.ctx.Err())
					return
				}
				if _, err := writer.Write([]byte(eventText(id))); err != nil {
					return
				}
			}
			if errors.Is(end, errHang) {
				<-req.ctx.Done()
				end = req.ctx.Err()
			}
			_ = writer.CloseWithError(end)
		}()
		r := response(http.StatusOK, "")
		r.Body = reader
		return r, nil
	}
}

// errHang makes a stream hang at its end instead of closing.
var errHang = errors.New("silence")

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// inVirtualTime runs a test in virtual time, until the watches of ended runs have ended.
func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(poison.SilenceLimit + silentWatchTime + canceledWatchTime + time.Second)
		test(t)
	})
}
