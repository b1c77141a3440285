package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/settings"
	"foxtailhub.example/foxtailhub/internal/upstream"
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
	h.dispatcher = dispatch.NewDispatcher(dispatch.Config{Configuration: h.source, Router: server, Services: server, Table: table})
	s.DrainLingerMS = drainLinger.Milliseconds()
	i := &Instance{settings: &s, log: log, handler: h, lifecycle: h.lifecycle, activity: h.activity, metrics: h.metrics, registry: h.registry, dispatcher: h.dispatcher}
	listener := newPipeListener()
	httpServer, err := i.server()
	g.Expect(err).NotTo(HaveOccurred())
	ctx, drain := context.WithCancel(context.Background())
	background, stop := context.WithCancel(context.Background())
	served := &servedInstance{
		Instance: i, g: g, table: table, server: server, drain: drain, exited: make(chan struct{}), stopped: stop,
		client: &http.Client{Transport: &http.Transport{DialContext: listener.dial}},
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
		key := contract.NewKey()
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
		s.g.Expect(s.call(t.Context(), "stock", contract.NewKey()).status).To(Equal(http.StatusOK))
		s.drain()
		time.Sleep(drainLinger + flushTimeout - 2*time.Second)
		got := s.call(t.Context(), "orders", contract.NewKey())
		<-s.exited
		if s.server.runs > 1 {
			s.g.Expect(got.err).NotTo(HaveOccurred())
			s.g.Expect(got.body).To(ContainSubstring(`"completed"`))
		}
	})
}
