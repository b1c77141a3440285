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

// caller is what the real and the naive version have in common.
type caller interface {
	Call(context.Context, dispatch.Request) dispatch.Result
}

// server is a plain service with faults. Executions survive all faults.
type server struct {
	id         contract.UpstreamID
	mu         sync.Mutex
	executions map[string]int
	behave     func(ctx context.Context, key string) behaviour
}

// behaviour is what a server does with one call.
type behaviour struct {
	before  time.Duration // until the execution
	refuse  error         // no execution
	answer  time.Duration // from the execution to the answer
	lose    bool          // execute, then close the connection
	status  int
	content []byte
}

// shortest is the shortest time that a fake takes. A timer of zero in a synctest
// bubble runs at once on the thread that creates it; with the race detector of
// Go 1.26.8, many at a time crashed inside ThreadSanitizer.
const shortest = time.Microsecond

func (s *server) CallOnce(ctx context.Context, call upstream.CallRequest) (upstream.CallResponse, error) {
	b := behaviour{status: 200, content: []byte("ok")}
	if s.behave != nil {
		b = s.behave(ctx, call.Request.Key)
	}
	if b.refuse != nil {
		return upstream.CallResponse{}, b.refuse
	}
	b.before, b.answer = max(b.before, shortest), max(b.answer, shortest)
	// The request is on its way: it arrives even if the sender goes away.
	arrived := make(chan struct{})
	time.AfterFunc(b.before, func() { s.execute(call.Request.Key); close(arrived) })
	select {
	case <-arrived:
	case <-ctx.Done():
		return upstream.CallResponse{}, ctx.Err()
	}
	if b.lose {
		return upstream.CallResponse{}, upstream.ErrConnectionLost
	}
	select {
	case <-time.After(b.answer):
		return upstream.CallResponse{Status: b.status, Body: b.content}, nil
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

// servers is a Router and a ServiceDialer over fake servers.
type servers struct {
	mu        sync.Mutex
	list      []*server
	next      int
	standing  upstream.Standing
	placed    []upstream.Need
	seen      []upstream.ObservationKind
	beforeRun func() // runs between the record and the send
}

func newServers(n int) *servers {
	s := &servers{}
	for i := range n {
		s.list = append(s.list, &server{id: contract.UpstreamID(fmt.Sprintf("s%d", i)), executions: map[string]int{}})
	}
	return s
}

func (s *servers) Place(need upstream.Need) (upstream.Placement, time.Duration, bool) {
	if s.beforeRun != nil {
		s.beforeRun()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed = append(s.placed, need)
	for range s.list {
		candidate := s.list[s.next%len(s.list)]
		s.next++
		if !slices.Contains(need.Avoid, candidate.id) {
			return upstream.Placement{Target: upstream.Target{ID: candidate.id}, Done: s.observed}, 0, true
		}
	}
	return upstream.Placement{}, time.Second, false
}

func (s *servers) observed(o upstream.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, o.Kind)
}

func (s *servers) Target(contract.UpstreamID) (upstream.Target, bool) {
	return upstream.Target{}, false
}
func (s *servers) Serves(contract.ServiceID, upstream.ModelPin) bool { return true }
func (s *servers) Standing(upstream.ContentKey) upstream.Standing    { return s.standing }
func (s *servers) Service(target upstream.Target) upstream.ServiceClient {
	for _, candidate := range s.list {
		if candidate.id == target.ID {
			return candidate
		}
	}
	return nil
}

// executions returns how often a key was run at all servers.
func (s *servers) executions(key string) int {
	n := 0
	for _, one := range s.list {
		one.mu.Lock()
		n += one.executions[key]
		one.mu.Unlock()
	}
	return n
}

func (s *servers) behave(f func(ctx context.Context, key string) behaviour) {
	for _, one := range s.list {
		one.behave = f
	}
}

type fixedSource struct{ snapshot configuration.Snapshot }

func (f *fixedSource) Current() *configuration.Snapshot { return &f.snapshot }

// source has the service "booking" (not idempotent) and "stock" (idempotent).
func source() *fixedSource {
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
	return dispatch.Config{Configuration: source(), Router: s, Services: s, Table: table}
}

// start returns a Caller whose background work ends with the test.
func start(t *testing.T, c dispatch.Config) *dispatch.Caller {
	t.Helper()
	caller := dispatch.NewCaller(c)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { caller.Run(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return caller
}

func newKey() string { return fmt.Sprintf("%013d-%x", time.Now().UnixMilli(), rand.Uint64()) }

func booking(key string) dispatch.Request {
	return dispatch.Request{ID: contract.RequestID{Workspace: "clinic", Key: key}, Service: "booking", Body: []byte(`{"wig":7}`)}
}

func stock() dispatch.Request {
	return dispatch.Request{ID: contract.RequestID{Workspace: "clinic", Key: newKey()}, Service: "stock"}
}

func storedRecord(table *platformtest.Table) dispatch.Record {
	rows := table.Rows()
	if len(rows) != 1 {
		return dispatch.Record{}
	}
	return decode(rows[0].Value)
}

// seeds returns the seeds of randomised runs: FOXTAILHUB_SEED or a fixed set.
func seeds() []uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FOXTAILHUB_SEED"), 10, 64); err == nil {
		return []uint64{n}
	}
	return []uint64{1, 2, 3, 4, 5, 6, 7, 8}
}
