package dispatch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/naive"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

func decode(data []byte) dispatch.Record {
	var r dispatch.Record
	if err := json.Unmarshal(data, &r); err != nil {
		panic(err)
	}
	return r
}

func commit(table *platformtest.TableService, key, value string) {
	_, _ = table.Commit(context.Background(), []platform.Transaction{{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}})
}

// submitInTurn submits the same request n times to two instances in turn, like a
// caller that retries after a timeout, and returns the results.
func submitInTurn(first, second callDispatcher, request dispatch.Request, n int) []dispatch.Result {
	var out []dispatch.Result
	for i := range n {
		target := first
		if i%2 == 1 {
			target = second
		}
		out = append(out, target.Call(context.Background(), request))
	}
	return out
}

// Guards against a second execution when a service runs a call, its response is
// lost, and the caller retries at another instance (P5).
func TestUpstreamLostAfterExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		loseFirst := func(s *servers) {
			var once sync.Once
			s.setBehaviour(func(context.Context, string) behaviour {
				b := behaviour{status: 200}
				once.Do(func() { b.loseResponse = true })
				return b
			})
		}
		s := newServers(2)
		loseFirst(s)
		naiveDispatcher := naive.NewDispatcher(config(nil, s))
		request := atMostOnceRequest(newKey())
		submitInTurn(naiveDispatcher, naiveDispatcher, request, 2)
		g.Expect(s.executions(request.ID.Key)).To(BeNumerically(">", 1), "the naive version must show the fault")

		s = newServers(2)
		loseFirst(s)
		table := platformtest.NewTableService()
		results := submitInTurn(startDispatcher(t, config(table, s)), startDispatcher(t, config(table, s)), request, 4)
		g.Expect(s.executions(request.ID.Key)).To(Equal(1))
		for _, r := range results {
			g.Expect(r.Verdict.Outcome).To(Equal(contract.Unknown))
		}
		g.Expect(storedRecord(table).State).To(Equal(dispatch.Unknown))
	})
}

// Guards against a second execution, and against a lost response, when a caller
// submits the same call to two instances concurrently.
func TestConcurrentSubmissionsAtTwoInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		slow := func(context.Context, string) behaviour {
			return behaviour{responseDelay: 300 * time.Millisecond, status: 201, body: []byte("booked")}
		}
		request := atMostOnceRequest(newKey())
		submit := func(dispatchers ...callDispatcher) []dispatch.Result {
			results := make([]dispatch.Result, len(dispatchers))
			var group sync.WaitGroup
			for i, c := range dispatchers {
				group.Go(func() { results[i] = c.Call(context.Background(), request) })
			}
			group.Wait()
			return results
		}
		s := newServers(2)
		s.setBehaviour(slow)
		naiveDispatcher := naive.NewDispatcher(config(nil, s))
		submit(naiveDispatcher, naiveDispatcher)
		g.Expect(s.executions(request.ID.Key)).To(Equal(2), "the naive version must show the fault")

		s = newServers(2)
		s.setBehaviour(slow)
		table := platformtest.NewTableService()
		a, b := startDispatcher(t, config(table, s)), startDispatcher(t, config(table, s))
		for _, r := range submit(a, b, a) {
			g.Expect(r.Verdict.Outcome).To(Equal(contract.Completed))
			g.Expect(r.Response.Status).To(Equal(201))
			g.Expect(string(r.Response.Body)).To(Equal("booked"))
		}
		g.Expect(s.executions(request.ID.Key)).To(Equal(1))
	})
}

// Guards against a call that runs after another instance reported not_run, when
// its instance is lost after writing the record and before sending the call.
func TestInstanceLostBetweenRecordAndSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := platformtest.NewTableService()
		s := newServers(1)
		s.beforeSend = runtime.Goexit // ends the run immediately
		request := atMostOnceRequest(newKey())
		startDispatcher(t, config(table, s)).Call(context.Background(), request)
		s.beforeSend = nil
		result := startDispatcher(t, config(table, s)).Call(context.Background(), request)
		g.Expect(result.Verdict.Outcome).To(Equal(contract.Unknown))
		g.Expect(s.executions(request.ID.Key)).To(BeZero())
	})
}

// Guards against an owner that is paused, resumes after its deadline and sends
// the call (P4), and against another instance that reports not_run meanwhile.
func TestPausedOwnerWakesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := platformtest.NewTableService()
		s, other := newServers(1), newServers(1)
		request := atMostOnceRequest(newKey())
		pause := 4 * time.Second // before the deadline: the owner still sends
		first := newServers(1)
		first.beforeSend = func() { time.Sleep(pause) }
		go naive.NewDispatcher(config(nil, first)).Call(context.Background(), request)
		naive.NewDispatcher(config(nil, other)).Call(context.Background(), request)
		time.Sleep(pause + time.Second)
		g.Expect(first.executions(request.ID.Key)+other.executions(request.ID.Key)).To(Equal(2), "the naive version must show the fault")
		other = newServers(1)
		request = atMostOnceRequest(newKey())

		s.beforeSend = func() { time.Sleep(pause) }
		owner, second := startDispatcher(t, config(table, s)), startDispatcher(t, config(table, other))

		done := make(chan dispatch.Result, 1)
		go func() { done <- owner.Call(context.Background(), request) }()
		time.Sleep(time.Second)
		began := time.Now()
		concurrent := second.Call(context.Background(), request)
		g.Expect(concurrent.Verdict.Outcome).To(Equal(contract.Unknown))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 2100*time.Millisecond))
		g.Expect((<-done).Verdict.Outcome).To(Equal(contract.Completed))
		g.Expect(s.executions(request.ID.Key) + other.executions(request.ID.Key)).To(Equal(1))

		pause = 10 * time.Second // past the deadline
		overdue := atMostOnceRequest(newKey())
		result := owner.Call(context.Background(), overdue)
		g.Expect(result.Verdict.Outcome).To(Equal(contract.NotRun))
		time.Sleep(time.Minute)
		g.Expect(s.executions(overdue.ID.Key)).To(BeZero())
		s.beforeSend = nil
		g.Expect(second.Call(context.Background(), overdue).Verdict.Outcome).To(Equal(contract.Completed), "the released record can be taken over")
	})
}

// Guards against a recorded call that does not run, and against a second
// execution, when the store's response is lost or the insert takes effect late.
func TestStoreAnswerLost(t *testing.T) {
	for name, faults := range map[string]platformtest.Faults{
		"lost answer":    {LoseResponseRate: 1},
		"delayed effect": {DelayRate: 1, MaxDelay: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				table := platformtest.NewTableService()
				table.SetFaults(faults)
				s := newServers(1)
				request := atMostOnceRequest(newKey())
				c := startDispatcher(t, config(table, s))
				result := c.Call(context.Background(), request)
				time.Sleep(10 * time.Second)
				if result.Verdict.Outcome == contract.NotRun {
					g.Expect(s.executions(request.ID.Key)).To(BeZero())
				} else {
					g.Expect(result.Verdict.Outcome).To(Equal(contract.Completed))
				}
				table.SetFaults(platformtest.Faults{})
				g.Expect(c.Flush(context.Background())).To(Succeed())
				g.Expect(startDispatcher(t, config(table, s)).Call(context.Background(), request).Verdict.Outcome).To(Equal(contract.Completed))
				g.Expect(s.executions(request.ID.Key)).To(Equal(1))
			})
		})
	}
}

// Guards against an insert that takes effect after the caller received not_run
// and then blocks the key: it must be fenced off, so that a retry can run.
func TestLateInsertIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := platformtest.NewTableService()
		table.SetFaults(platformtest.Faults{DelayRate: 1, MaxDelay: 20 * time.Second})
		s := newServers(1)
		request := atMostOnceRequest(newKey())
		c := startDispatcher(t, config(table, s))
		g.Expect(c.Call(context.Background(), request).Verdict.Outcome).To(Equal(contract.NotRun))
		table.SetFaults(platformtest.Faults{})
		g.Expect(c.Flush(context.Background())).To(Succeed())
		time.Sleep(time.Minute)
		g.Expect(storedRecord(table).State).To(Equal(dispatch.Released))
		g.Expect(s.executions(request.ID.Key)).To(BeZero())
		g.Expect(c.Call(context.Background(), request).Verdict.Outcome).To(Equal(contract.Completed))
	})
}

// Guards against keys that stay blocked for many seconds after an outage of the
// store: callers that received not_run retry within a second.
func TestRecordsAreReleasedSoonAfterAnOutage(t *testing.T) {
	for range 8 { // the backoff is random
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			table := platformtest.NewTableService()
			table.SetFaults(platformtest.Faults{DelayRate: 1, MaxDelay: 20 * time.Second})
			c := startDispatcher(t, config(table, newServers(1)))
			g.Expect(c.Call(context.Background(), atMostOnceRequest(newKey())).Verdict.Reason).To(Equal(contract.ReasonStoreDown))
			table.SetFaults(platformtest.Faults{Unavailable: true})
			time.Sleep(time.Minute)
			g.Expect(storedRecord(table).State).To(Equal(dispatch.Dispatched))
			table.SetFaults(platformtest.Faults{})
			time.Sleep(time.Second)
			g.Expect(storedRecord(table).State).To(Equal(dispatch.Released))
		})
	}
}

// Guards against calls that wait for a store that is down or run without it, and
// against idempotent calls that depend on the store (P10).
func TestStoreDown(t *testing.T) {
	for name, faults := range map[string]platformtest.Faults{
		"unavailable": {Unavailable: true},
		"hangs":       {MaxLatency: 1000 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				table := platformtest.NewTableService()
				table.SetFaults(faults)
				s := newServers(1)
				c := startDispatcher(t, config(table, s))
				g.Expect(c.Call(context.Background(), atMostOnceRequest(newKey())).Verdict.Reason).To(Equal(contract.ReasonStoreDown))
				began := time.Now()
				verdict := c.Call(context.Background(), atMostOnceRequest(newKey())).Verdict
				g.Expect(verdict.Outcome).To(Equal(contract.NotRun))
				g.Expect(verdict.RetryAfter).To(BeNumerically(">", 0))
				g.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
				// A call long after the previous one must not serve as the probe of the store.
				time.Sleep(time.Minute)
				began = time.Now()
				g.Expect(c.Call(context.Background(), atMostOnceRequest(newKey())).Verdict.Reason).To(Equal(contract.ReasonStoreDown))
				g.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
				g.Expect(c.Call(context.Background(), idempotentRequest()).Verdict.Outcome).To(Equal(contract.Completed))
				table.SetFaults(platformtest.Faults{})
				time.Sleep(time.Second)
				g.Expect(c.Call(context.Background(), atMostOnceRequest(newKey())).Verdict.Outcome).To(Equal(contract.Completed))
			})
		})
	}
}

// Guards against a call that fails although another upstream would accept it,
// and against a record that blocks the retry of a call that did not run.
func TestCallThatDidNotRunGoesToAnotherUpstream(t *testing.T) {
	for _, refusal := range []error{upstream.ErrUnreachable, upstream.ErrRefused, upstream.ErrLeaving} {
		t.Run(refusal.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				table := platformtest.NewTableService()
				s := newServers(2)
				refuse := func(context.Context, string) behaviour { return behaviour{refuseErr: refusal} }
				s.list[0].behave = refuse
				c := startDispatcher(t, config(table, s))
				first := atMostOnceRequest(newKey())
				g.Expect(c.Call(context.Background(), first).Verdict.Outcome).To(Equal(contract.Completed))
				g.Expect(s.executions(first.ID.Key)).To(Equal(1))

				s.setBehaviour(refuse)
				second := atMostOnceRequest(newKey())
				result := c.Call(context.Background(), second)
				g.Expect(result.Verdict.Outcome).To(Equal(contract.NotRun))
				g.Expect(result.Verdict.RetryAfter).To(BeNumerically(">", 0))
				s.setBehaviour(nil)
				g.Expect(startDispatcher(t, config(table, s)).Call(context.Background(), second).Verdict.Outcome).To(Equal(contract.Completed))
				g.Expect(s.executions(second.ID.Key)).To(Equal(1))
			})
		})
	}
}

// Guards against a key that runs again after its record was deleted, against one
// key used for two requests, and against running quarantined content.
func TestRefusedBeforeRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := platformtest.NewTableService()
		s := newServers(1)
		c := startDispatcher(t, config(table, s))
		request := atMostOnceRequest(newKey())
		g.Expect(c.Call(context.Background(), request).Verdict.Outcome).To(Equal(contract.Completed))
		changed := request
		changed.Body = []byte("other")
		g.Expect(c.Call(context.Background(), changed).Verdict.Reason).To(Equal(contract.ReasonKeyMismatch))
		old := fmt.Sprintf("%013d-x", time.Now().Add(-25*time.Hour).UnixMilli())
		g.Expect(c.Call(context.Background(), atMostOnceRequest(old)).Verdict.Reason).To(Equal(contract.ReasonKeyExpired))
		g.Expect(c.Call(context.Background(), atMostOnceRequest("no-time")).Verdict.Reason).To(Equal(contract.ReasonKeyNoTime))
		s.contentStatus = upstream.ContentStatus{Quarantined: true, Until: time.Now().Add(time.Minute)}
		verdict := c.Call(context.Background(), atMostOnceRequest(newKey())).Verdict
		g.Expect(verdict.Outcome).To(Equal(contract.Quarantined))
		g.Expect(verdict.RetryAfter).To(Equal(time.Minute))
		g.Expect(table.Rows()).To(HaveLen(1))
		again := c.Call(context.Background(), request)
		g.Expect(again.Verdict.Outcome).To(Equal(contract.Completed), "its outcome was recorded before the quarantine")
		g.Expect(again.FromRecord).To(BeTrue())

		// Expired records of both key formats and of another workspace.
		for _, key := range []string{"clinic/" + contract.NewKey(), "atelier/" + newKey()} {
			commit(table, "dispatch/"+key, `{"state":"dispatched"}`)
		}
		time.Sleep(26 * time.Hour) // sweeps run every few minutes
		g.Expect(table.Rows()).To(BeEmpty())
		commit(table, "dispatch/clinic/"+newKey(), "{}")
		commit(table, "other", "{}")
		time.Sleep(24 * time.Hour)
		g.Expect(table.Rows()).To(HaveLen(2), "records within the retention time and other rows stay")
		g.Expect(c.Call(context.Background(), request).Verdict.Reason).To(Equal(contract.ReasonKeyExpired))
		g.Expect(s.executions(request.ID.Key)).To(Equal(1))
	})
}

// Guards against error responses of the service that are treated as failures and
// retried, and against a truncated body that is returned as the complete one.
func TestRecordedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := platformtest.NewTableService()
		s := newServers(1)
		a, b := startDispatcher(t, config(table, s)), startDispatcher(t, config(table, s))
		for _, size := range []int{10, dispatch.MaxRecordedBody + 1} {
			body := bytes.Repeat([]byte("x"), size)
			s.setBehaviour(func(context.Context, string) behaviour { return behaviour{status: 500, body: body} })
			request := atMostOnceRequest(newKey())
			first := a.Call(context.Background(), request)
			g.Expect(first.Verdict.Outcome).To(Equal(contract.Completed))
			g.Expect(first.Response.Body).To(Equal(body))
			again := b.Call(context.Background(), request)
			g.Expect(again.FromRecord).To(BeTrue())
			g.Expect(again.Response.Status).To(Equal(500))
			g.Expect(again.BodyOmitted).To(Equal(size > dispatch.MaxRecordedBody))
			if !again.BodyOmitted {
				g.Expect(again.Response.Body).To(Equal(body))
			}
			g.Expect(s.executions(request.ID.Key)).To(Equal(1))
		}
	})
}
