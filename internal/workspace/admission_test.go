package workspace_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

type fixedSource struct{ snapshot configuration.Snapshot }

func (f *fixedSource) Current() *configuration.Snapshot { return &f.snapshot }

func newSource(workspaces map[contract.WorkspaceID]configuration.Workspace) *fixedSource {
	return &fixedSource{snapshot: configuration.Snapshot{Version: 1, Document: configuration.Document{
		Services: map[contract.ServiceID]configuration.Service{
			"notes":   {Kind: configuration.KindEngine},
			"letters": {Kind: configuration.KindEngine},
			"stock":   {Kind: configuration.KindService},
		},
		Workspaces: workspaces,
	}}}
}

func run(t *testing.T, a *workspace.Admission) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { a.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

func newAdmission(t *testing.T, capacity int, workspaces map[contract.WorkspaceID]configuration.Workspace) *workspace.Admission {
	a := workspace.NewAdmission(workspace.Config{
		Instance:      "i0",
		Configuration: newSource(workspaces),
		Capacity:      func(contract.ServiceID) int { return capacity },
	})
	run(t, a)
	return a
}

func newRequest(id contract.WorkspaceID, service contract.ServiceID, priority upstream.Priority, wait time.Duration) workspace.AdmissionRequest {
	return workspace.AdmissionRequest{Workspace: id, Service: service, Priority: priority, Deadline: time.Now().Add(wait)}
}

// Guards against a refusal that is delayed until the deadline, and against one
// without a retry-after time (P10).
func TestRefusalIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := newAdmission(t, 1, map[contract.WorkspaceID]configuration.Workspace{"a": {RequestsPerSecond: 1000}})
		admit := func(wait time.Duration) (func(), contract.Verdict, bool) {
			return a.Admit(context.Background(), newRequest("a", "notes", upstream.PriorityInteractive, wait))
		}
		release, _, ok := admit(time.Second)
		g.Expect(ok).To(BeTrue())
		time.Sleep(10 * time.Second)
		release() // a slot is held for 10 s
		release, _, ok = admit(time.Second)
		g.Expect(ok).To(BeTrue())
		began := time.Now()
		_, verdict, ok := admit(5 * time.Second)
		g.Expect(ok).To(BeFalse())
		g.Expect(time.Since(began)).To(BeZero())
		g.Expect(verdict).To(Equal(contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonOverloaded, RetryAfter: 10 * time.Second}))

		time.AfterFunc(3*time.Second, release)
		release, _, ok = admit(15 * time.Second)
		g.Expect(ok).To(BeTrue(), "a request that can wait is admitted")
		g.Expect(time.Since(began)).To(Equal(3 * time.Second))
		release()
		release() // must not release a second slot
		_, _, ok = admit(time.Second)
		g.Expect(ok).To(BeTrue())
		_, _, ok = admit(time.Second)
		g.Expect(ok).To(BeFalse())
	})
}

// Guards against requests above the rate limit that are admitted, or queued
// beyond their deadline.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := newAdmission(t, 0, map[contract.WorkspaceID]configuration.Workspace{"a": {RequestsPerSecond: 10}})
		admitted, refused := 0, 0
		began := time.Now()
		for time.Since(began) < 20*time.Second {
			_, verdict, ok := a.Admit(context.Background(), newRequest("a", "stock", upstream.PriorityInteractive, 0))
			if ok {
				admitted++
			} else {
				refused++
				g.Expect(verdict.Reason).To(Equal(contract.ReasonWorkspaceLimit))
				g.Expect(verdict.RetryAfter).To(BeNumerically(">", 0))
			}
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(admitted).To(BeNumerically("~", 210, 5)) // 20 s at 10/s and a burst of 10
		g.Expect(refused).To(BeNumerically(">", 1000))
	})
}

// Guards against a large workspace that starves a small one, and against
// resumed generations that wait behind new ones.
func TestFairnessAndPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		many := configuration.Workspace{RequestsPerSecond: 10000, ConcurrentGenerations: 1000}
		a := newAdmission(t, 4, map[contract.WorkspaceID]configuration.Workspace{"large": many, "small": many})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for range 200 {
			group.Go(func() {
				for ctx.Err() == nil {
					if release, _, ok := a.Admit(ctx, newRequest("large", "notes", upstream.PriorityInteractive, time.Hour)); ok {
						time.Sleep(100 * time.Millisecond)
						release()
					}
				}
			})
		}
		time.Sleep(time.Second)
		wait := func(id contract.WorkspaceID, priority upstream.Priority) time.Duration {
			began := time.Now()
			release, _, ok := a.Admit(ctx, newRequest(id, "notes", priority, time.Hour))
			g.Expect(ok).To(BeTrue())
			waited := time.Since(began)
			release()
			return waited
		}
		for range 10 {
			g.Expect(wait("small", upstream.PriorityInteractive)).To(BeNumerically("<=", 200*time.Millisecond))
			g.Expect(wait("large", upstream.PriorityResumed)).To(BeNumerically("<=", 100*time.Millisecond))
		}
		g.Expect(wait("large", upstream.PriorityInteractive)).To(BeNumerically(">=", 3*time.Second))
		cancel()
		group.Wait()
	})
}

// Guards against new generations that take the slots reserved for resumed ones,
// and against the admission of a new generation while resumed ones still fill
// the capacity for new ones.
func TestNewGenerationsLeaveHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := workspace.NewAdmission(workspace.Config{
			Configuration:      newSource(map[contract.WorkspaceID]configuration.Workspace{"a": {}}),
			Capacity:           func(contract.ServiceID) int { return 6 },
			NewRequestCapacity: func(contract.ServiceID) int { return 4 },
		})
		admit := func(priority upstream.Priority, n int) (releases []func()) {
			for range n {
				if release, _, ok := a.Admit(context.Background(), newRequest("a", "notes", priority, 0)); ok {
					releases = append(releases, release)
				}
			}
			return releases
		}
		began := admit(upstream.PriorityInteractive, 1)
		time.Sleep(time.Second)
		began[0]()
		began = admit(upstream.PriorityInteractive, 8)
		g.Expect(began).To(HaveLen(4))
		resumed := admit(upstream.PriorityResumed, 8)
		g.Expect(resumed).To(HaveLen(2))
		resumed[0]()
		g.Expect(admit(upstream.PriorityInteractive, 1)).To(BeEmpty())
		began[0]()
		g.Expect(admit(upstream.PriorityInteractive, 1)).To(BeEmpty(), "the capacity for new generations is in use")
		began[1]()
		g.Expect(admit(upstream.PriorityInteractive, 2)).To(HaveLen(1))
	})
}

// Guards against a slot that is lost when a waiting request times out, or when
// the workspace's slot is released at another service.
func TestSlotsAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := newAdmission(t, 2, map[contract.WorkspaceID]configuration.Workspace{"a": {RequestsPerSecond: 10000, ConcurrentGenerations: 3}})
		var group sync.WaitGroup
		var running, most, completed atomic.Int64
		for i := range 300 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				service := contract.ServiceID([]string{"notes", "letters"}[i%2])
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%7)*20*time.Millisecond)
				defer cancel()
				release, _, ok := a.Admit(ctx, newRequest("a", service, upstream.PriorityBatch, time.Second))
				if !ok {
					return
				}
				most.Store(max(most.Load(), running.Add(1)))
				time.Sleep(20 * time.Millisecond)
				running.Add(-1)
				release()
				completed.Add(1)
			})
		}
		group.Wait()
		g.Expect(most.Load()).To(BeEquivalentTo(3))
		g.Expect(completed.Load()).To(BeNumerically(">", 50))
		for _, service := range []contract.ServiceID{"notes", "letters", "letters"} {
			_, _, ok := a.Admit(context.Background(), newRequest("a", service, upstream.PriorityBatch, time.Second))
			g.Expect(ok).To(BeTrue(), "all slots are free again")
		}
	})
}

// fleet is a set of instances that exchange their demand.
type fleet struct {
	instances []*workspace.Admission
	running   atomic.Int64
	admitted  []atomic.Int64
}

func newFleet(t *testing.T, n int, w configuration.Workspace) *fleet {
	f := &fleet{admitted: make([]atomic.Int64, n)}
	s := newSource(map[contract.WorkspaceID]configuration.Workspace{"a": w})
	for i := range n {
		a := workspace.NewAdmission(workspace.Config{
			Instance:      contract.InstanceID(fmt.Sprint(i)),
			Configuration: s,
			InstanceCount: func() int { return n },
		})
		run(t, a)
		f.instances = append(f.instances, a)
	}
	return f
}

func (f *fleet) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		for i, from := range f.instances {
			for _, to := range f.instances {
				to.ApplyDemand(contract.InstanceID(fmt.Sprint(i)), from.Demand())
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// load keeps n callers busy at an instance with generations of one second.
func (f *fleet) load(ctx context.Context, group *sync.WaitGroup, at, n int) {
	for range n {
		group.Go(func() {
			for ctx.Err() == nil {
				release, _, ok := f.instances[at].Admit(ctx, newRequest("a", "notes", upstream.PriorityInteractive, 200*time.Millisecond))
				if !ok {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				f.running.Add(1)
				f.admitted[at].Add(1)
				time.Sleep(time.Second)
				f.running.Add(-1)
				release()
			}
		})
	}
}

// Guards against shares that together exceed the workspace's limit, leave it
// unused although there is demand, or give a new instance no share.
func TestSharesFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const limit = 30
		f := newFleet(t, 6, configuration.Workspace{RequestsPerSecond: 100000, ConcurrentGenerations: limit})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		group.Go(func() { f.exchange(ctx) })
		f.load(ctx, &group, 0, 40)
		f.load(ctx, &group, 1, 10)
		time.Sleep(20 * time.Second)
		observe := func(d time.Duration) (mean float64, most int64) {
			samples := int(d / (50 * time.Millisecond))
			for range samples {
				time.Sleep(50 * time.Millisecond)
				mean += float64(f.running.Load()) / float64(samples)
				most = max(most, f.running.Load())
			}
			return mean, most
		}
		mean, most := observe(10 * time.Second)
		g.Expect(most).To(BeNumerically("<=", limit))
		g.Expect(mean).To(BeNumerically(">=", 0.7*limit))

		f.load(ctx, &group, 5, 20)
		time.Sleep(5 * time.Second)
		g.Expect(f.admitted[5].Load()).To(BeNumerically(">", 0))
		time.Sleep(15 * time.Second)
		_, most = observe(10 * time.Second)
		g.Expect(most).To(BeNumerically("<=", limit))
		g.Expect(f.admitted[5].Load()).To(BeNumerically(">", 20))
	})
}

// Guards against refusals of a workspace that uses less than its share because
// of the queue of another workspace.
func TestOverloadOfOneWorkspaceDoesNotAffectAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		unlimited := configuration.Workspace{RequestsPerSecond: 1e6, ConcurrentGenerations: 1e6}
		a := newAdmission(t, 4, map[contract.WorkspaceID]configuration.Workspace{"heavy": unlimited, "light": unlimited})
		var lightRefused, heavyRefused, slowRefusals atomic.Int64
		request := func(id contract.WorkspaceID, wait time.Duration, refused *atomic.Int64) {
			began := time.Now()
			release, _, ok := a.Admit(context.Background(), newRequest(id, "notes", upstream.PriorityInteractive, wait))
			if !ok {
				refused.Add(1)
				if time.Since(began) > 3*time.Second {
					slowRefusals.Add(1)
				}
				return
			}
			time.Sleep(time.Second)
			release()
		}
		var group sync.WaitGroup
		for n := range 600 { // 10 per second; the capacity is 4 per second
			id, wait, refused := contract.WorkspaceID("heavy"), 4*time.Second, &heavyRefused
			if n > 100 && n%6 == 0 {
				id, wait, refused = "light", 2*time.Second, &lightRefused
			}
			group.Go(func() { request(id, wait, refused) })
			time.Sleep(100 * time.Millisecond)
		}
		group.Wait()
		g.Expect(lightRefused.Load()).To(BeZero())
		g.Expect(heavyRefused.Load()).To(BeNumerically(">", 200))
		g.Expect(slowRefusals.Load()).To(BeNumerically("<", heavyRefused.Load()/20))
	})
}

// Guards against a request that waits until its deadline although requests that
// were ordered before it meanwhile have made its admission in time unlikely
// (P10).
func TestQueuedRequestThatCannotMeetDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limits := configuration.Workspace{RequestsPerSecond: 1e6, ConcurrentGenerations: 1e6}
		favoured := limits
		favoured.Weight = 10
		a := newAdmission(t, 1, map[contract.WorkspaceID]configuration.Workspace{"heavy": limits, "light": favoured})
		var group sync.WaitGroup
		hold := func(id contract.WorkspaceID, wait time.Duration) {
			release, _, ok := a.Admit(context.Background(), newRequest(id, "notes", upstream.PriorityInteractive, wait))
			if ok {
				time.Sleep(time.Second)
				release()
			}
		}
		hold("heavy", time.Minute) // a slot is held for 1 s
		for range 2 {              // one runs, one waits
			group.Go(func() { hold("heavy", time.Minute) })
			synctest.Wait()
		}
		var refusedAfter time.Duration
		group.Go(func() {
			began := time.Now()
			_, verdict, ok := a.Admit(context.Background(), newRequest("heavy", "notes", upstream.PriorityInteractive, 4*time.Second))
			refusedAfter = time.Since(began)
			g.Expect(ok).To(BeFalse())
			g.Expect(verdict.RetryAfter).To(BeNumerically(">", 4*time.Second))
		})
		synctest.Wait()
		for range 6 {
			group.Go(func() { hold("light", time.Minute) })
		}
		group.Wait()
		g.Expect(refusedAfter).To(BeNumerically(">", 0), "the request is queued at first")
		g.Expect(refusedAfter).To(BeNumerically("<", 200*time.Millisecond))
	})
}
