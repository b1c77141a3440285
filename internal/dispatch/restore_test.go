package dispatch_test

import (
	"context"
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
