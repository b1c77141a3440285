package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// callDispatcher is the interface of the real and the naive implementation.
type callDispatcher interface {
	Call(context.Context, dispatch.Request) dispatch.Result
}

// server is a fake plain service with injected faults. It counts the executions
// of each key.
type server struct {
	id         contract.UpstreamID
	mu         sync.Mutex
	executions map[string]int
	behave     func(ctx context.Context, key string) behaviour
}

// behaviour describes how a server handles one call.
type behaviour struct {
	executionDelay time.Duration // from the receipt to the execution
	refuseErr      error         // returned without executing the call
	responseDelay  time.Duration // from the execution to the response
	loseResponse   bool          // executes the call, then closes the connection
	status         int
	body           []byte
}

// minDelay is the minimum delay of a fake. In a synctest bubble a timer of zero
// fires immediately on the thread that creates it; with the race detector of
// Go 1.26.8, many of them at once crashed inside ThreadSanitizer.
const minDelay = time.Microsecond

func (s *server) CallOnce(ctx context.Context, call upstream.CallRequest) (upstream.CallResponse, error) {
	b := behaviour{status: 200, body: []byte("ok")}
	if s.behave != nil {
		b = s.behave(ctx, call.Request.Key)
	}
	if b.refuseErr != nil {
		return upstream.CallResponse{}, b.refuseErr
	}
	b.executionDelay, b.responseDelay = max(b.executionDelay, minDelay), max(b.responseDelay, minDelay)
	// The request is in transit: it arrives even if the sender cancels it.
	arrived := make(chan struct{})
	time.AfterFunc(b.executionDelay, func() { s.execute(call.Request.Key); close(arrived) })
	select {
	case <-arrived:
	case <-ctx.Done():
		return upstream.CallResponse{}, ctx.Err()
	}
	if b.loseResponse {
		return upstream.CallResponse{}, upstream.ErrConnectionLost
	}
	select {
	case <-time.After(b.responseDelay):
		return upstream.CallResponse{Status: b.status, Body: b.body}, nil
	case <-ctx.Done():
		return upstream.CallResponse{}, ctx.Err()
	}
}

func (s *server) CallIdempotent(ctx context.Context, call upstream.CallRequest) (upstream.CallResponse, error) {
	return s.CallOnce(ctx, call)
}

func (s *server) Load(context.Context) (upstream.LoadReport, error) {
	return upstream.LoadReport{}, nil
}

func (s *server) execute(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
}

// servers implements upstream.Router and upstream.ServiceDialer with fake
// servers.
type servers struct {
	mu            sync.Mutex
	list          []*server
	next          int
	contentStatus upstream.ContentStatus
	placements    []upstream.Requirements
	observations  []upstream.ObservationKind
	beforeSend    func() // called in Place: after the record is written, before the call is sent
}

func newServers(n int) *servers {
	s := &servers{}
	for i := range n {
		s.list = append(s.list, &server{id: contract.UpstreamID(fmt.Sprintf("s%d", i)), executions: map[string]int{}})
	}
	return s
}

func (s *servers) Place(requirements upstream.Requirements) (upstream.Placement, time.Duration, bool) {
	if s.beforeSend != nil {
		s.beforeSend()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placements = append(s.placements, requirements)
	for range s.list {
		candidate := s.list[s.next%len(s.list)]
		s.next++
		if !slices.Contains(requirements.Avoid, candidate.id) {
			return upstream.Placement{Target: upstream.Target{ID: candidate.id}, Done: s.recordObservation}, 0, true
		}
	}
	return upstream.Placement{}, time.Second, false
}

func (s *servers) recordObservation(o upstream.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observations = append(s.observations, o.Kind)
}

func (s *servers) Target(contract.UpstreamID) (upstream.Target, bool) {
	return upstream.Target{}, false
}
func (s *servers) Serves(contract.ServiceID, upstream.ModelPin) bool        { return true }
func (s *servers) ContentStatus(upstream.ContentKey) upstream.ContentStatus { return s.contentStatus }
func (s *servers) Service(target upstream.Target) upstream.ServiceClient {
	for _, candidate := range s.list {
		if candidate.id == target.ID {
			return candidate
		}
	}
	return nil
}

// executions returns the number of executions of a key on all servers.
func (s *servers) executions(key string) int {
	n := 0
	for _, srv := range s.list {
		srv.mu.Lock()
		n += srv.executions[key]
		srv.mu.Unlock()
	}
	return n
}

func (s *servers) setBehaviour(f func(ctx context.Context, key string) behaviour) {
	for _, srv := range s.list {
		srv.behave = f
	}
}

type fixedSource struct{ snapshot configuration.Snapshot }

func (f *fixedSource) Current() *configuration.Snapshot { return &f.snapshot }

// newSource returns a configuration with the services "booking" (not idempotent)
// and "stock" (idempotent).
func newSource() *fixedSource {
	return &fixedSource{snapshot: configuration.Snapshot{Version: 1, Document: configuration.Document{
		Services: map[contract.ServiceID]configuration.Service{
			"booking": {Kind: configuration.KindService, DeadlineMS: 5000},
			"stock":   {Kind: configuration.KindService, DeadlineMS: 5000, Idempotent: true},
		},
		Workspaces: map[contract.WorkspaceID]configuration.Workspace{"clinic": {}},
		Rules: map[string]configuration.Rule{
			"booking": {Workspace: "clinic", Service: "booking"},
			"stock":   {Workspace: "clinic", Service: "stock"},
		},
	}}}
}

func config(table platform.TableService, s *servers) dispatch.Config {
	return dispatch.Config{Configuration: newSource(), Router: s, Services: s, Table: table}
}

// startDispatcher returns a dispatcher whose background work stops with the test.
func startDispatcher(t *testing.T, c dispatch.Config) *dispatch.Dispatcher {
	t.Helper()
	dispatcher := dispatch.NewDispatcher(c)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { dispatcher.Run(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return dispatcher
}

func newKey() string { return fmt.Sprintf("%013d-%x", time.Now().UnixMilli(), rand.Uint64()) }

func atMostOnceRequest(key string) dispatch.Request {
	return dispatch.Request{ID: contract.RequestID{Workspace: "clinic", Key: key}, Service: "booking", Body: []byte(`{"wig":7}`)}
}

func idempotentRequest() dispatch.Request {
	return dispatch.Request{ID: contract.RequestID{Workspace: "clinic", Key: newKey()}, Service: "stock"}
}

func storedRecord(table *platformtest.TableService) dispatch.Record {
	rows := table.Rows()
	if len(rows) != 1 {
		return dispatch.Record{}
	}
	return decode(rows[0].Value)
}

// seeds returns the seeds of the randomised tests: FOXTAILHUB_SEED or a fixed set.
func seeds() []uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FOXTAILHUB_SEED"), 10, 64); err == nil {
		return []uint64{n}
	}
	return []uint64{1, 2, 3, 4, 5, 6, 7, 8}
}
