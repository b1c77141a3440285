package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against runs whose end is evidence in one place and none in another: each combination of a
// cause and of what is known of the process has one outcome.
func TestOutcomeOfARun(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		cause                 EndCause
		unknown, alive, gone  RunOutcome // at once
		silent                RunOutcome // unknown after SilenceLimit
		countsWhenGone, quiet bool       // evidence: the process is gone, or silent for long
	}{
		{CauseAnswered, RunCompleted, RunCompleted, RunCompleted, RunCompleted, false, false},
		{CauseRefused, RunRefused, RunRefused, RunRefused, RunRefused, false, false},
		{CauseLost, RunCrashed, RunFailed, RunCrashed, RunCrashed, true, true},
		{CauseSilence, RunUnresolved, RunFailed, RunCrashed, RunSilent, true, true},
		{CauseCanceled, RunUnresolved, RunCanceled, RunCrashed, RunCanceled, true, false},
	} {
		name := fmt.Sprint("cause ", int(c.cause))
		g.Expect(RunEnd{Cause: c.cause}.Outcome()).To(Equal(c.unknown), name)
		g.Expect(RunEnd{Cause: c.cause, Process: ProcessAlive, SilentFor: time.Hour}.Outcome()).To(Equal(c.alive), name)
		gone := RunEnd{Cause: c.cause, Process: ProcessGone}.Outcome()
		g.Expect(gone).To(Equal(c.gone), name)
		g.Expect(gone.IsLoss()).To(Equal(c.countsWhenGone), name)
		silent := RunEnd{Cause: c.cause, SilentFor: SilenceLimit}.Outcome()
		g.Expect(silent).To(Equal(c.silent), name)
		g.Expect(silent.IsLoss()).To(Equal(c.quiet), name)
	}
}

// Guards against processes under one ID that count as one, and against upstreams without a start time.
func TestProcessName(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ProcessName("u", 1)).NotTo(Equal(ProcessName("u", 2)))
	g.Expect(ProcessName("u", 0)).To(Equal("u"))
}

// Guards against evidence without an end in memory.
func TestQuarantineIsBounded(t *testing.T) {
	g := NewWithT(t)
	q := NewQuarantine(nil)
	now := time.Now()
	for n := range maxTrackedContents + 100 {
		q.Add(now, RequestCrash{Content: Content(fmt.Sprint(n)), Process: "p"})
	}
	for n := range maxTrackedProcesses + 10 {
		q.Add(now, RequestCrash{Content: "0", Process: fmt.Sprint("p", n)})
	}
	g.Expect(q.contents).To(HaveLen(maxTrackedContents))
	g.Expect(q.Crashes("0")).To(HaveLen(maxTrackedProcesses))
	later := now.Add(QuarantineDuration)
	g.Expect(q.Contains(later, "0")).To(BeTrue(), "quarantined while it may come")
	q.Add(later, RequestCrash{Content: "new", Process: "p"})
	g.Expect(q.contents).To(HaveLen(2))
	g.Expect(q.Contains(now.Add(QuarantineIdle), "0")).To(BeFalse())
}
