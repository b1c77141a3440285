package instance

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/settings"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/upstreamtest"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// pipeListener accepts the server ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	caller, server := net.Pipe()
	select {
	case l.conns <- server:
		return caller, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// callServer is a service whose only server responds after a delay.
type callServer struct {
	upstream.Router
	upstream.ServiceClient
	delay time.Duration
	mu    sync.Mutex // guards runs
	runs  int
}

func (s *callServer) Place(upstream.Requirements) (upstream.Placement, time.Duration, bool) {
	return upstream.Placement{Target: upstream.Target{ID: "s0"}, Done: func(upstream.Observation) {}}, 0, true
}

func (s *callServer) ContentStatus(upstream.ContentKey) upstream.ContentStatus {
	return upstream.ContentStatus{}
}

func (s *callServer) Service(upstream.Target) upstream.ServiceClient { return s }

func (s *callServer) CallOnce(ctx context.Context, _ upstream.CallRequest) (upstream.CallResponse, error) {
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	select {
	case <-time.After(s.delay):
		return upstream.CallResponse{Status: 200, Body: []byte("done")}, nil
	case <-ctx.Done():
		return upstream.CallResponse{}, ctx.Err()
	}
}

func (s *callServer) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

func (s *callServer) CallIdempotent(ctx context.Context, call upstream.CallRequest) (upstream.CallResponse, error) {
	return s.CallOnce(ctx, call)
}

// servedInstance is an instance that serves calls of at most once, without its other parts.
type servedInstance struct {
	*Instance
	g       Gomega
	table   *platformtest.TableService
	server  *callServer
	client  *http.Client
	drain   context.CancelFunc
	exited  chan struct{} // closed when serve has returned
	stopped context.CancelFunc
}

const drainLinger = time.Second

func serveInstance(t *testing.T, s settings.Settings, delay time.Duration) *servedInstance {
	listener := newPipeListener()
	return serveInstanceAt(t, s, delay, listener, listener.dial)
}

// serveInstanceAt serves calls at a listener, to which dial connects.
func serveInstanceAt(
	t *testing.T, s settings.Settings, delay time.Duration, listener net.Listener, dial func(ctx context.Context, network, address string) (net.Conn, error),
) *servedInstance {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := newTestHandler(true, false)
	h.lifecycle.membership, h.lifecycle.log = nil, log
	state := StateDraining
	h.lifecycle.state.Store(&state) // it does not report its state to the membership
	document := testDocument()
	document.Services["orders"] = configuration.Service{Kind: configuration.KindService, Idempotent: true}
	document.Rules["r3"] = configuration.Rule{Workspace: "shop-a", Service: "orders"}
	g.Expect(h.holder.Advance(&configuration.Snapshot{Version: 2, Document: document})).To(BeTrue())
	server := &callServer{delay: delay}
	table := platformtest.NewTableService()
	h.dispatcher = dispatch.NewDispatcher(dispatch.Config{
		Configuration: h.source, Router: server, Services: server, Table: table,
		StartsEnd: h.lifecycle.grace.starts, WaitsEnd: h.lifecycle.grace.waits,
	})
	s.DrainLingerMS = drainLinger.Milliseconds()
	i := &Instance{settings: &s, log: log, handler: h, lifecycle: h.lifecycle, activity: h.activity, metrics: h.metrics, registry: h.registry, dispatcher: h.dispatcher}
	httpServer, err := i.server()
	g.Expect(err).NotTo(HaveOccurred())
	ctx, drain := context.WithCancel(context.Background())
	background, stop := context.WithCancel(context.Background())
	served := &servedInstance{
		Instance: i, g: g, table: table, server: server, drain: drain, exited: make(chan struct{}), stopped: stop,
		client: &http.Client{Transport: &http.Transport{DialContext: dial}},
	}
	go h.dispatcher.Run(background)
	go func() {
		defer close(served.exited)
		g.Expect(i.serve(ctx, httpServer, listener)).To(Succeed())
		stop()
		_ = httpServer.Close() // the process has ended
	}()
	t.Cleanup(drain)
	return served
}

// callResponse is what the caller of a call got.
type callResponse struct {
	status int
	body   string
	err    error
	at     time.Time
}

func (s *servedInstance) call(ctx context.Context, service, key string) callResponse {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://i/v1/workspaces/shop-a/services/"+service+"/calls", strings.NewReader("{}"))
	s.g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	response, err := s.client.Do(request)
	if err != nil {
		return callResponse{err: err, at: time.Now()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResponse{response.StatusCode, string(body), err, time.Now()}
}

// newBubbleKey returns a key of the bubble's time. The times of contract.NewKey never go back, so after a
// test in real time they are in a bubble's future.
func newBubbleKey() string { return fmt.Sprintf("%013d-%x", time.Now().UnixMilli(), rand.Uint64()) }

func (s *servedInstance) record(key string) string {
	for _, row := range s.table.Rows() {
		if row.Key == dispatch.RecordKey(contract.RequestID{Workspace: "shop-a", Key: key}) {
			return string(row.Value)
		}
	}
	return ""
}

// Guards against an instance that exits while a call runs whose caller has left: its outcome would never be recorded,
// and the caller's next submission would find it in progress for good.
func TestDrainWaitsForCallWhoseCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serveInstance(t, settings.Settings{}, 5*time.Second)
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		key := newBubbleKey()
		s.drain()
		s.g.Expect(s.call(ctx, "stock", key).err).To(HaveOccurred())
		<-s.exited
		s.g.Expect(s.record(key)).To(ContainSubstring(`"state":"completed"`))
	})
}

// Guards against an instance that exits while it serves a call that arrived during its last writes, which it could not do
// in time.
func TestDrainWaitsForCallDuringItsLastWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serveInstance(t, settings.Settings{}, 5*time.Second)
		go func() {
			time.Sleep(4 * time.Second)
			s.table.SetFaults(platformtest.Faults{Unavailable: true}) // the outcome cannot be written
		}()
		s.g.Expect(s.call(t.Context(), "stock", newBubbleKey()).status).To(Equal(http.StatusOK))
		s.drain()
		time.Sleep(drainLinger + flushTimeout - 2*time.Second)
		got := s.call(t.Context(), "orders", newBubbleKey())
		<-s.exited
		if s.server.runCount() > 1 {
			s.g.Expect(got.err).NotTo(HaveOccurred())
			s.g.Expect(got.body).To(ContainSubstring(`"completed"`))
		}
	})
}

const testGrace = 8 * time.Second

// Guards against calls that are cut without an answer when the platform kills the process: one that arrives or waits late
// must not run and be told so, one that runs must be told that it may have run, one that can end in time gets its response.
func TestCallsAreAnsweredBeforeTheEndOfTheGrace(t *testing.T) {
	const slowStore = 900 * time.Millisecond
	for name, test := range map[string]struct {
		sentAt  time.Duration // after SIGTERM
		delay   time.Duration // of the service
		latency time.Duration // of the table service
		status  int
		body    string
		record  string // state, "": none
		runs    int
	}{
		"ends in time":             {sentAt: time.Second, delay: 5 * time.Second, status: 200, body: `"completed"`, record: "completed", runs: 1},
		"runs beyond the end":      {sentAt: 5 * time.Second, delay: 6 * time.Second, status: 200, body: `"unknown","reason":"in_progress"`, record: "dispatched", runs: 1},
		"arrives late":             {sentAt: testGrace - startMargin + time.Millisecond, delay: 3 * time.Second, status: 503, body: `"not_run","reason":"leaving"`},
		"waits for its record":     {sentAt: testGrace - startMargin - slowStore/2, latency: slowStore, delay: 3 * time.Second, status: 503, body: `"not_run","reason":"leaving"`, record: "released"},
		"arrives just before that": {sentAt: testGrace - time.Millisecond*600, delay: 3 * time.Second, status: 503, body: `"not_run","reason":"leaving"`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := serveInstance(t, settings.Settings{DrainGraceMS: testGrace.Milliseconds()}, test.delay)
				key := newBubbleKey()
				end := s.activity.track(&s.activity.calls) // another request, which keeps the instance from its end
				s.drain()
				killAt := time.Now().Add(testGrace)
				time.Sleep(test.sentAt)
				if test.latency > 0 {
					s.table.SetHook(func(op platformtest.Operation, after bool) {
						if op == platformtest.OperationCommit && !after {
							s.table.SetHook(nil)
							time.Sleep(test.latency)
						}
					})
				}
				got := s.call(t.Context(), "stock", key)
				s.g.Expect(got.err).NotTo(HaveOccurred())
				s.g.Expect(got.status).To(Equal(test.status), got.body)
				s.g.Expect(got.body).To(ContainSubstring(test.body))
				s.g.Expect(got.at).To(BeTemporally("<=", killAt.Add(-answerMargin+10*time.Millisecond)))
				time.Sleep(time.Until(killAt)) // the process is killed here
				if record := s.record(key); test.record == "" {
					s.g.Expect(record).To(BeEmpty())
				} else {
					s.g.Expect(record).To(ContainSubstring(`"state":"` + test.record + `"`))
				}
				s.g.Expect(s.server.runCount()).To(Equal(test.runs))
				end()
				<-s.exited
			})
		})
	}
}

// waitingAdmitter admits nothing before the request's context ends.
type waitingAdmitter struct{}

func (waitingAdmitter) Admit(ctx context.Context, _ workspace.AdmissionRequest) (func(), contract.Verdict, bool) {
	<-ctx.Done()
	return nil, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonDeadlineExceeded}, false
}

// Guards against generations without a byte of their response that are cut when the platform kills the process.
func TestGenerationsAreAnsweredBeforeTheEndOfTheGrace(t *testing.T) {
	verdictOf := func(g Gomega, err error) contract.Verdict {
		var refusal *oas.ErrorStatusCodeWithHeaders
		g.Expect(errors.As(err, &refusal)).To(BeTrue())
		return api.VerdictFromError(refusal)
	}
	t.Run("waits for admission", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g, h, start := NewWithT(t), newTestHandler(true, true), time.Now()
			h.registry = generation.NewRegistry(generation.Config{
				Instance: "i1", Router: upstreamtest.NewFakeRouter(), Admitter: waitingAdmitter{}, StartsEnd: h.lifecycle.grace.starts,
			})
			go h.lifecycle.grace.run(testGrace, nil, h.log)
			params := oas.StartGenerationParams{Workspace: "shop-a", Service: "guides", IdempotencyKey: "k"}
			err := h.StartGeneration(t.Context(), &oas.GenerationRequest{Prompt: "p"}, params, httptest.NewRecorder())
			verdict := verdictOf(g, err)
			g.Expect(verdict.Outcome).To(Equal(contract.NotRun))
			g.Expect(verdict.Reason).To(Equal(contract.ReasonLeaving))
			g.Expect(verdict.RetryAfter).To(BeNumerically(">", 0))
			g.Expect(time.Since(start)).To(Equal(testGrace - startMargin))
			time.Sleep(startMargin)
		})
	})
	t.Run("waits for an engine", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g, h, start := NewWithT(t), newTestHandler(true, true), time.Now()
			go h.lifecycle.grace.run(testGrace, nil, h.log)
			err := h.stream(t.Context(), httptest.NewRecorder(), contract.RequestID{}, nil, newScriptedSubscription(0))
			verdict := verdictOf(g, err)
			g.Expect(verdict.Outcome).To(Equal(contract.Unknown))
			g.Expect(verdict.RetryAfter).To(BeNumerically(">", 0))
			g.Expect(time.Since(start)).To(Equal(testGrace - answerMargin))
		})
	})
}
