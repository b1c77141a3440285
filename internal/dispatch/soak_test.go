package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/naive"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// soakRun is a randomised run of calls at two instances that share the servers
// and the table service, while servers, table service and instances fail.
type soakRun struct {
	mu      sync.Mutex
	random  *rand.Rand
	servers *servers
	table   *platformtest.TableService
	results map[string][]dispatch.Result
}

func newSoak(seed uint64) *soakRun {
	s := &soakRun{
		random:  rand.New(rand.NewPCG(seed, 7)),
		servers: newServers(3),
		table:   platformtest.NewSeededTableService(seed),
		results: map[string][]dispatch.Result{},
	}
	s.servers.setBehaviour(s.drawBehaviour)
	s.servers.beforeSend = s.interruptRun
	return s
}

func (s *soakRun) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soakRun) drawMillis(n int) time.Duration { return time.Duration(s.draw(n)) * time.Millisecond }

func (s *soakRun) drawBehaviour(context.Context, string) behaviour {
	b := behaviour{executionDelay: s.drawMillis(50), responseDelay: s.drawMillis(50), status: 200, body: []byte("ok")}
	switch s.draw(12) {
	case 0:
		b.loseResponse = true
	case 1:
		b.refuseErr = upstream.ErrUnreachable
	case 2:
		b.refuseErr = upstream.ErrLeaving
	case 3:
		b.executionDelay = s.drawMillis(20000) // arrives after the sender has timed out
	case 4:
		b.responseDelay = s.drawMillis(20000)
	case 5:
		b.refuseErr = upstream.ErrRefused
	}
	return b
}

// interruptRun pauses or ends a run after it has written its record and before it
// sends the call.
func (s *soakRun) interruptRun() {
	switch s.draw(25) {
	case 0:
		time.Sleep(s.drawMillis(12000))
	case 1:
		runtime.Goexit()
	}
}

// injectFaults changes the faults of the table service at random until ctx ends.
func (s *soakRun) injectFaults(ctx context.Context) {
	modes := []platformtest.Faults{
		{},
		{MaxLatency: 100 * time.Millisecond},
		{Unavailable: true},
		{LoseResponseRate: 0.3, LoseRequestRate: 0.2, UnavailableRate: 0.1},
		{DelayRate: 0.5, MaxDelay: 5 * time.Second, MaxLatency: 20 * time.Millisecond},
		{LoseResponseRate: 0.2, DelayRate: 0.2, MaxDelay: 8 * time.Second, MaxLatency: 3 * time.Second},
	}
	for ctx.Err() == nil {
		s.table.SetFaults(modes[s.draw(len(modes))])
		select {
		case <-time.After(s.drawMillis(4000)):
		case <-ctx.Done():
		}
	}
}

// submit submits one request up to five times to random instances, in part
// concurrently.
func (s *soakRun) submit(dispatchers []callDispatcher) {
	time.Sleep(s.drawMillis(60000))
	request := atMostOnceRequest(fmt.Sprintf("%013d-%d", time.Now().UnixMilli(), s.draw(1<<30)))
	var group sync.WaitGroup
	for range 1 + s.draw(5) {
		target := dispatchers[s.draw(len(dispatchers))]
		group.Go(func() {
			result := target.Call(context.Background(), request)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.results[request.ID.Key] = append(s.results[request.ID.Key], result)
		})
		time.Sleep(s.drawMillis(3000))
	}
	group.Wait()
}

func (s *soakRun) run(calls int, dispatchers []callDispatcher) {
	ctx, cancel := context.WithCancel(context.Background())
	var background, submissions sync.WaitGroup
	background.Go(func() { s.injectFaults(ctx) })
	for range calls {
		submissions.Go(func() { s.submit(dispatchers) })
	}
	submissions.Wait()
	cancel()
	background.Wait()
	s.table.SetFaults(platformtest.Faults{})
	time.Sleep(time.Minute) // all delayed effects have happened
}

// violations returns the keys that were executed more than once, and the keys
// that were executed although each submission received not_run.
func (s *soakRun) violations() (executedTwice, executedDespiteNotRun []string) {
	for key, results := range s.results {
		n := s.servers.executions(key)
		if n > 1 {
			executedTwice = append(executedTwice, key)
		}
		all := true
		for _, r := range results {
			all = all && r.Verdict.Outcome == contract.NotRun
		}
		if all && n > 0 {
			executedDespiteNotRun = append(executedDespiteNotRun, key)
		}
	}
	return executedTwice, executedDespiteNotRun
}

func (s *soakRun) outcomes() map[contract.Outcome]int {
	count := map[contract.Outcome]int{}
	for _, results := range s.results {
		for _, r := range results {
			count[r.Verdict.Outcome]++
		}
	}
	return count
}

// Guards P4 and P5 against combinations of faults that no other test covers.
func TestSoak(t *testing.T) {
	const calls = 400
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newSoak(seed)
				a, b := startDispatcher(t, config(s.table, s.servers)), startDispatcher(t, config(s.table, s.servers))
				s.run(calls, []callDispatcher{a, b})
				g.Expect(a.Flush(context.Background())).To(Succeed())
				g.Expect(b.Flush(context.Background())).To(Succeed())
				executedTwice, executedDespiteNotRun := s.violations()
				g.Expect(executedTwice).To(BeEmpty(), "run more than once")
				g.Expect(executedDespiteNotRun).To(BeEmpty(), "run after not_run")
				g.Expect(s.outcomes()).To(HaveKey(contract.Completed))
				g.Expect(s.outcomes()).To(HaveKey(contract.NotRun))
				g.Expect(s.outcomes()).To(HaveKey(contract.Unknown))
			})
		})
	}
}

// Guards against a soak test that cannot fail: the naive implementation violates
// P4 and P5.
func TestSoakDetectsNaive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSoak(1)
		naiveDispatcher := naive.NewDispatcher(config(s.table, s.servers))
		s.run(400, []callDispatcher{naiveDispatcher, naiveDispatcher})
		executedTwice, executedDespiteNotRun := s.violations()
		g.Expect(executedTwice).NotTo(BeEmpty())
		g.Expect(executedDespiteNotRun).NotTo(BeEmpty())
	})
}
