package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/naive"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// Guards against a separate write to the table service for each call.
func TestInsertsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := platformtest.NewTableService()
		c := startDispatcher(t, config(table, newServers(2)))
		var group sync.WaitGroup
		for range 128 {
			group.Go(func() { c.Call(context.Background(), atMostOnceRequest(newKey())) })
		}
		group.Wait()
		g.Expect(c.Flush(context.Background())).To(Succeed())
		g.Expect(table.Rows()).To(HaveLen(128))
		g.Expect(table.CommitCount()).To(BeNumerically("<=", 12))
	})
}

// Guards against outcomes that are lost at shutdown, and against a Flush that
// reports success while the store is down.
func TestFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := platformtest.NewTableService()
		s := newServers(1)
		s.setBehaviour(func(context.Context, string) behaviour {
			table.SetFaults(platformtest.Faults{Unavailable: true}) // after the record, before the outcome
			return behaviour{status: 201}
		})
		c := startDispatcher(t, config(table, s))
		request := atMostOnceRequest(newKey())
		g.Expect(c.Call(context.Background(), request).Response.Status).To(Equal(201))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g.Expect(c.Flush(ctx)).NotTo(Succeed())
		table.SetFaults(platformtest.Faults{})
		g.Expect(c.Flush(context.Background())).To(Succeed())
		g.Expect(storedRecord(table).State).To(Equal(dispatch.Completed))
		g.Expect(storedRecord(table).Status).To(Equal(201))
	})
}

// Guards against results that differ between the naive and the real
// implementation without a fault.
func TestNaiveCallerAgreesWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(2)
		s.setBehaviour(func(_ context.Context, key string) behaviour {
			return behaviour{responseDelay: time.Millisecond, status: 200 + len(key)%3, body: []byte(key)}
		})
		naiveDispatcher, c := naive.NewDispatcher(config(nil, s)), startDispatcher(t, config(platformtest.NewTableService(), s))
		for i := range 20 {
			for _, request := range []dispatch.Request{atMostOnceRequest(newKey()), idempotentRequest()} {
				request.ID.Key += fmt.Sprint(i)
				expected := naiveDispatcher.Call(context.Background(), request)
				g.Expect(c.Call(context.Background(), request)).To(Equal(expected))
			}
		}
	})
}

// Guards against a call that runs although admission refused it.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := platformtest.NewTableService()
		s := newServers(1)
		s.setBehaviour(func(context.Context, string) behaviour { return behaviour{responseDelay: time.Second} })
		c := config(table, s)
		c.Admitter = workspace.NewAdmission(workspace.Config{
			Configuration: c.Configuration,
			Capacity:      func(contract.ServiceID) int { return 1 },
		})
		dispatcher := startDispatcher(t, c)
		dispatcher.Call(context.Background(), atMostOnceRequest(newKey()))
		go dispatcher.Call(context.Background(), atMostOnceRequest(newKey()))
		time.Sleep(100 * time.Millisecond)
		request := atMostOnceRequest(newKey())
		request.Deadline = time.Now().Add(500 * time.Millisecond)
		verdict := dispatcher.Call(context.Background(), request).Verdict
		expectedRetryAfter := 5*time.Millisecond + minDelay + time.Second // batch delay of the record, execution, response
		g.Expect(verdict).To(Equal(contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonOverloaded, RetryAfter: expectedRetryAfter}))
		time.Sleep(time.Minute)
		g.Expect(s.executions(request.ID.Key)).To(BeZero())
		g.Expect(dispatcher.InFlight()).To(BeZero())
	})
}
