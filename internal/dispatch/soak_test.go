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

// soak is a random run of calls over two instances, each with its own view of
// the same servers, while the table service, the servers and the instances fail.
type soak struct {
	mu      sync.Mutex
	random  *rand.Rand
	servers *servers
	table   *platformtest.Table
	answers map[string][]dispatch.Result
}

func newSoak(seed uint64) *soak {
	s := &soak{
		random:  rand.New(rand.NewPCG(seed, 7)),
		servers: newServers(3),
		table:   platformtest.NewSeededTable(seed),
		answers: map[string][]dispatch.Result{},
	}
	s.servers.behave(s.behaviour)
	s.servers.beforeRun = s.disturb
	return s
}

func (s *soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soak) millis(n int) time.Duration { return time.Duration(s.draw(n)) * time.Millisecond }

func (s *soak) behaviour(context.Context, string) behaviour {
	b := behaviour{before: s.millis(50), answer: s.millis(50), status: 200, content: []byte("ok")}
	switch s.draw(12) {
	case 0:
		b.lose = true
	case 1:
		b.refuse = upstream.ErrUnreachable
	case 2:
		b.refuse = upstream.ErrLeaving
	case 3:
		b.before = s.millis(20000) // arrives when the sender no longer waits
	case 4:
		b.answer = s.millis(20000)
	case 5:
		b.refuse = upstream.ErrRefused
	}
	return b
}

// disturb pauses or ends a run between its record and its send.
func (s *soak) disturb() {
	switch s.draw(25) {
	case 0:
		time.Sleep(s.millis(12000))
	case 1:
		runtime.Goexit()
	}
}

// faults changes what the table service does wrong until ctx ends.
func (s *soak) faults(ctx context.Context) {
	modes := []platformtest.Faults{
		{},
		{Slow: 100 * time.Millisecond},
		{Unavailable: true},
		{LoseAnswerRate: 0.3, LoseRequestRate: 0.2, UnavailableRate: 0.1},
		{DelayRate: 0.5, Delay: 5 * time.Second, Slow: 20 * time.Millisecond},
		{LoseAnswerRate: 0.2, DelayRate: 0.2, Delay: 8 * time.Second, Slow: 3 * time.Second},
	}
	for ctx.Err() == nil {
		s.table.Set(modes[s.draw(len(modes))])
		select {
		case <-time.After(s.millis(4000)):
		case <-ctx.Done():
		}
	}
}

// submit sends one request up to five times, partly at the same time, at
// random instances.
func (s *soak) submit(callers []caller) {
	time.Sleep(s.millis(60000))
	request := booking(fmt.Sprintf("%013d-%d", time.Now().UnixMilli(), s.draw(1<<30)))
	var group sync.WaitGroup
	for range 1 + s.draw(5) {
		at := callers[s.draw(len(callers))]
		group.Go(func() {
			result := at.Call(context.Background(), request)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.answers[request.ID.Key] = append(s.answers[request.ID.Key], result)
		})
		time.Sleep(s.millis(3000))
	}
	group.Wait()
}

func (s *soak) run(calls int, callers []caller) {
	ctx, cancel := context.WithCancel(context.Background())
	var background, submissions sync.WaitGroup
	background.Go(func() { s.faults(ctx) })
	for range calls {
		submissions.Go(func() { s.submit(callers) })
	}
	submissions.Wait()
	cancel()
	background.Wait()
	s.table.Set(platformtest.Faults{})
	time.Sleep(time.Minute) // all late effects have arrived
}

// violations returns the keys that ran twice, and those that ran although each
// submission was told not_run.
func (s *soak) violations() (twice, denied []string) {
	for key, results := range s.answers {
		n := s.servers.executions(key)
		if n > 1 {
			twice = append(twice, key)
		}
		all := true
		for _, r := range results {
			all = all && r.Verdict.Outcome == contract.NotRun
		}
		if all && n > 0 {
			denied = append(denied, key)
		}
	}
	return twice, denied
}

func (s *soak) outcomes() map[contract.Outcome]int {
	count := map[contract.Outcome]int{}
	for _, results := range s.answers {
		for _, r := range results {
			count[r.Verdict.Outcome]++
		}
	}
	return count
}

// Guards P4 and P5 against combinations of faults that no single test names.
func TestSoak(t *testing.T) {
	const calls = 400
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newSoak(seed)
				a, b := start(t, config(s.table, s.servers)), start(t, config(s.table, s.servers))
				s.run(calls, []caller{a, b})
				g.Expect(a.Flush(context.Background())).To(Succeed())
				g.Expect(b.Flush(context.Background())).To(Succeed())
				twice, denied := s.violations()
				g.Expect(twice).To(BeEmpty(), "run more than once")
				g.Expect(denied).To(BeEmpty(), "run after not_run")
				g.Expect(s.outcomes()).To(HaveKey(contract.Completed))
				g.Expect(s.outcomes()).To(HaveKey(contract.NotRun))
				g.Expect(s.outcomes()).To(HaveKey(contract.Unknown))
			})
		})
	}
}

// Guards against a soak that cannot fail: the naive version violates both.
func TestSoakDetectsNaive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSoak(1)
		simple := naive.NewCaller(config(s.table, s.servers))
		s.run(400, []caller{simple, simple})
		twice, denied := s.violations()
		g.Expect(twice).NotTo(BeEmpty())
		g.Expect(denied).NotTo(BeEmpty())
	})
}
