package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
)

// Guards against a second run of a call whose record was lost with the table service's last writes: the instance that
// ran it knows better than the table.
func TestCallWhoseRecordWasLostIsNotRunAgainAtItsInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, table := newServers(1), platformtest.NewTableService()
		d := startDispatcher(t, config(table, s))
		lost := table.Copy()
		request := atMostOnceRequest(newKey())
		first := d.Call(t.Context(), request)
		g.Expect(first.Verdict.Outcome).To(Equal(contract.Completed))
		time.Sleep(time.Second)
		table.Restore(lost)
		again := d.Call(t.Context(), request)
		g.Expect(s.executions(request.ID.Key)).To(Equal(1))
		g.Expect(again.Verdict.Outcome).To(Equal(contract.Completed))
		g.Expect(again.FromRecord).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(storedRecord(table).State).To(Equal(dispatch.Completed))
	})
}

// Guards against an outcome that is dropped because its record was lost while the call ran: another instance would run it again.
func TestOutcomeOfCallWhoseRecordWasLostIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, table := newServers(1), platformtest.NewTableService()
		s.setBehaviour(func(context.Context, string) behaviour { return behaviour{responseDelay: time.Second, status: 200} })
		first, second := startDispatcher(t, config(table, s)), startDispatcher(t, config(table, s))
		lost := table.Copy()
		request := atMostOnceRequest(newKey())
		go func() {
			time.Sleep(500 * time.Millisecond)
			table.Restore(lost)
		}()
		g.Expect(first.Call(t.Context(), request).Verdict.Outcome).To(Equal(contract.Completed))
		time.Sleep(time.Second)
		g.Expect(storedRecord(table).State).To(Equal(dispatch.Completed))
		g.Expect(second.Call(t.Context(), request).Verdict.Outcome).To(Equal(contract.Completed))
		g.Expect(s.executions(request.ID.Key)).To(Equal(1))
	})
}

// Guards against calls that run again at another instance once the loss of records is known: they are refused until the
// instances have written what they know.
func TestRecordsAreWrittenAgainAfterTheTableWentBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, table := newServers(1), platformtest.NewTableService()
		first, second := startDispatcher(t, config(table, s)), startDispatcher(t, config(table, s))
		lost := table.Copy()
		var requests []dispatch.Request
		for range 20 {
			request := atMostOnceRequest(newKey())
			g.Expect(first.Call(t.Context(), request).Verdict.Outcome).To(Equal(contract.Completed))
			requests = append(requests, request)
		}
		time.Sleep(time.Second)
		table.Restore(lost)
		first.TableWentBack("test")
		second.TableWentBack("test")
		refused := second.Call(t.Context(), requests[0])
		g.Expect(refused.Verdict.Outcome).To(Equal(contract.NotRun))
		g.Expect(refused.Verdict.Reason).To(Equal(contract.ReasonStoreDown))
		time.Sleep(refused.Verdict.RetryAfter)
		for _, request := range requests {
			g.Expect(second.Call(t.Context(), request).Verdict.Outcome).To(Equal(contract.Completed))
			g.Expect(s.executions(request.ID.Key)).To(Equal(1))
		}
	})
}

// Guards against second runs after a loss of records, except for what no instance can know: a repeat at another instance
// between the loss and its notice.
func TestRandomRepeatsAroundLossOfRecords(t *testing.T) {
	const (
		instances = 3
		lossAt    = 10 * time.Second
		notice    = time.Second // after the loss
		lost      = 2 * time.Second
	)
	for _, seed := range seeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				random := rand.New(rand.NewPCG(seed, 1))
				s, table := newServers(3), platformtest.NewSeededTableService(seed)
				s.setBehaviour(func(context.Context, string) behaviour {
					return behaviour{responseDelay: 100 * time.Millisecond, status: 200}
				})
				var dispatchers []*dispatch.Dispatcher
				for range instances {
					dispatchers = append(dispatchers, startDispatcher(t, config(table, s)))
				}
				var earlier platformtest.Copy
				time.AfterFunc(lossAt-lost, func() { earlier = table.Copy() })
				time.AfterFunc(lossAt, func() { table.Restore(earlier) })
				time.AfterFunc(lossAt+notice, func() {
					for _, d := range dispatchers {
						d.TableWentBack("test")
					}
				})
				start := time.Now()
				var calls sync.WaitGroup
				unknowable := map[string]bool{} // repeated at another instance before the notice
				for time.Since(start) < 20*time.Second {
					request, first := atMostOnceRequest(newKey()), random.IntN(instances)
					repeats := []int{random.IntN(instances), random.IntN(instances)}
					pauses := []time.Duration{time.Duration(random.IntN(4000)) * time.Millisecond, time.Duration(random.IntN(4000)) * time.Millisecond}
					at := time.Since(start)
					for i, repeat := range repeats {
						at += pauses[i]
						if repeat != first && at+200*time.Millisecond > lossAt && at < lossAt+notice+200*time.Millisecond {
							unknowable[request.ID.Key] = true
						}
					}
					calls.Go(func() {
						dispatchers[first].Call(t.Context(), request)
						for i, repeat := range repeats {
							time.Sleep(pauses[i])
							dispatchers[repeat].Call(t.Context(), request)
						}
					})
					time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
					if !unknowable[request.ID.Key] {
						calls.Go(func() {
							time.Sleep(15 * time.Second)
							g.Expect(s.executions(request.ID.Key)).To(BeNumerically("<=", 1), "first at %v of instance %d, repeats %v after %v", time.Since(start), first, repeats, pauses)
						})
					}
				}
				calls.Wait()
				twice := 0
				for key := range unknowable {
					if s.executions(key) > 1 {
						twice++
					}
				}
				t.Logf("%d keys were repeated at another instance around the loss, %d of them ran twice", len(unknowable), twice)
			})
		})
	}
}
