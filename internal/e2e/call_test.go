//go:build e2e

package e2e

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// callDeadline is the deadline of calls that do not state another one.
const callDeadline = 10 * time.Second

// answer is the end of a call.
type answer struct {
	client.CallResult
	err  error
	took time.Duration
}

// callWithin sends a call to one instance and waits for its end.
func (w *world) callWithin(deadline time.Duration, instance int, service contract.ServiceID, key string) answer {
	call := oas.CallRequest{Path: oas.NewOptString("/charges"), Body: oas.NewOptString(`{"amount": 1200}`)}
	call.DeadlineMs.SetTo(deadline.Milliseconds())
	began := time.Now()
	request := contract.RequestID{Workspace: testcluster.Workspace, Key: key}
	result, err := w.clientOf(instance).Call(w.ctx, request, service, call)
	return answer{CallResult: result, err: err, took: time.Since(began)}
}

func (w *world) charge(instance int, key string) answer {
	return w.callWithin(callDeadline, instance, testcluster.Charges, key)
}

// startCharge sends a charge in the background.
func (w *world) startCharge(deadline time.Duration, instance int, key string) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- w.callWithin(deadline, instance, testcluster.Charges, key) }()
	return done
}

func (w *world) outcome(a answer, outcome contract.Outcome, reason contract.Reason) {
	w.t.Helper()
	w.Expect(a.err).NotTo(HaveOccurred())
	w.Expect(a.Verdict.Outcome).To(Equal(outcome), "%+v", a.CallResult)
	w.Expect(a.Verdict.Reason).To(Equal(reason), "%+v", a.CallResult)
}

func (w *world) fault(p *testcluster.Process, fault standin.Fault) {
	w.t.Helper()
	w.Expect(testcluster.SetFault(w.ctx, p, fault)).To(Succeed())
}

func (w *world) signal(p *testcluster.Process, signal syscall.Signal) {
	w.t.Helper()
	w.Expect(p.Signal(signal)).To(Succeed())
}

// kill ends a process and waits until it has ended.
func (w *world) kill(p *testcluster.Process) {
	w.t.Helper()
	w.signal(p, syscall.SIGKILL)
	w.Eventually(p.Exited()).Should(BeClosed())
}

func (w *world) awaitExecutions(key string, n int) {
	w.t.Helper()
	w.Eventually(func() int { return w.executions(key) }, 10*time.Second, 5*time.Millisecond).Should(Equal(n))
}

// restartService starts a service again at its address and waits until it
// answers. Its count of executions begins at 0.
func (w *world) restartService(i int) {
	w.t.Helper()
	p, err := w.cluster.StartService(i, w.cluster.Services[i].Address)
	w.Expect(err).NotTo(HaveOccurred())
	w.cluster.Services[i] = p
	var report standin.ExecutionReport
	w.Eventually(func() error { return testcluster.GetJSON(w.ctx, p.URL()+"/executions", &report) }).Should(Succeed())
}

// Guards against a charge that runs twice, or is reported as not run, when its
// answer is lost: each instance gives the recorded outcome later.
func TestChargeWithLostAnswerIsUnknown(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	w.fault(w.cluster.Services[0], standin.Fault{LoseAnswer: true})
	key := contract.NewKey()
	w.outcome(w.charge(0, key), contract.Unknown, contract.ReasonUnknownOutcome)
	w.fault(w.cluster.Services[0], standin.Fault{})
	for i := range w.cluster.Instances {
		w.outcome(w.charge(i, key), contract.Unknown, contract.ReasonUnknownOutcome)
	}
	w.Expect(w.executions(key)).To(Equal(1))
}

// Guards against a charge that is sent again after its service was killed
// before or after it carried the charge out.
func TestChargeSurvivesKillOfItsService(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"before execution": {Pause: true},
		"after execution":  {SlowMS: 30_000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, testcluster.Options{})
			w.fault(w.cluster.Services[0], fault)
			key := contract.NewKey()
			done := w.startCharge(callDeadline, 0, key)
			if fault.Pause {
				w.awaitEvent(key, "call_sent")
			} else {
				w.awaitExecutions(key, 1)
			}
			w.kill(w.cluster.Services[0])
			a := <-done
			w.outcome(a, contract.Unknown, contract.ReasonUnknownOutcome)
			w.Expect(a.took).To(BeNumerically("<", callDeadline/2))
			w.restartService(0)
			for i := range w.cluster.Instances {
				w.outcome(w.charge(i, key), contract.Unknown, contract.ReasonUnknownOutcome)
			}
			w.Expect(w.executions(key)).To(BeZero(), "sent again after the restart")
		})
	}
}

// Guards against a refusal that keeps a charge from being run later, and
// against a late refusal, when no service runs at all.
func TestChargeWithoutServiceIsNotRunAndRunsLater(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	w.kill(w.cluster.Services[0])
	key := contract.NewKey()
	a := w.charge(0, key)
	w.Expect(a.err).NotTo(HaveOccurred())
	w.Expect(a.Verdict.Outcome).To(Equal(contract.NotRun), "%+v", a)
	w.Expect(a.Verdict.RetryAfter).To(BeNumerically(">", 0), "%+v", a)
	w.Expect(a.took).To(BeNumerically("<", 2*time.Second))
	w.restartService(0)
	w.Eventually(func() contract.Outcome { return w.charge(1, key).Verdict.Outcome }).Should(Equal(contract.Completed))
	w.Expect(w.executions(key)).To(Equal(1))
}

// Guards against a charge that is sent again, or answered late, when its service
// is paused beyond the deadline and continued.
func TestChargeOnPausedService(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	service := w.cluster.Services[0]
	w.fault(service, standin.Fault{SlowMS: 300})
	key := contract.NewKey()
	deadline := 2 * time.Second
	done := w.startCharge(deadline, 0, key)
	w.awaitExecutions(key, 1)
	w.signal(service, syscall.SIGSTOP)
	a := <-done
	w.Expect(a.err).NotTo(HaveOccurred())
	w.Expect(a.Verdict.Outcome).To(Equal(contract.Unknown), "%+v", a)
	w.Expect(a.took).To(BeNumerically("<", deadline+time.Second))
	w.signal(service, syscall.SIGCONT)
	for i := range w.cluster.Instances {
		w.outcome(w.charge(i, key), contract.Unknown, contract.ReasonUnknownOutcome)
	}
	w.Expect(w.executions(key)).To(Equal(1))
}

// Guards against a second run of a charge whose instance is killed between the
// record and the answer, when the caller comes back at another instance.
func TestChargeSurvivesKillOfItsInstance(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	w.fault(w.cluster.Services[0], standin.Fault{SlowMS: 1000})
	key := contract.NewKey()
	done := w.startCharge(callDeadline, 0, key)
	w.awaitExecutions(key, 1)
	w.kill(w.cluster.Instances[0])
	w.Expect((<-done).err).To(HaveOccurred())
	for _, instance := range []int{1, 2, 1} {
		a := w.charge(instance, key)
		w.outcome(a, contract.Unknown, contract.ReasonInProgress)
		w.Expect(a.took).To(BeNumerically("<", 3*time.Second))
	}
	w.Expect(w.executions(key)).To(Equal(1))
}

// Guards against a second run, and against two different final outcomes, when an
// instance is paused during a charge and continues after another one answered.
func TestChargeSurvivesPauseOfItsInstance(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	w.fault(w.cluster.Services[0], standin.Fault{SlowMS: 500})
	key := contract.NewKey()
	done := w.startCharge(callDeadline, 0, key)
	w.awaitExecutions(key, 1)
	w.signal(w.cluster.Instances[0], syscall.SIGSTOP)
	w.outcome(w.charge(1, key), contract.Unknown, contract.ReasonInProgress)
	w.signal(w.cluster.Instances[0], syscall.SIGCONT)
	w.outcome(<-done, contract.Completed, "")
	for i := range w.cluster.Instances {
		w.Eventually(func() contract.Outcome { return w.charge(i, key).Verdict.Outcome }).Should(Equal(contract.Completed))
	}
	w.Expect(w.executions(key)).To(Equal(1))
}

// Guards against not_run for a charge that runs later: an instance is paused
// after its record was written and before it sends. Another instance must not
// run the charge nor say that it did not run; the paused one may send only
// before the deadline.
func TestChargePausedBeforeItIsSent(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"continued in time": 20 * time.Second, "continued too late": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, testcluster.Options{})
			w.fault(w.cluster.Platform, standin.Fault{SlowMS: 800})
			key := contract.NewKey()
			began := time.Now()
			before := w.transactions()
			done := w.startCharge(deadline, 0, key)
			w.awaitEvent(key, "request_admitted")
			// By now the record is on its way; its answer comes after 800 ms.
			admitted := time.Now()
			w.Eventually(func() bool { return time.Since(admitted) > 200*time.Millisecond }).Should(BeTrue())
			w.signal(w.cluster.Instances[0], syscall.SIGSTOP)
			w.Eventually(w.transactions).Should(BeNumerically(">", before))
			w.fault(w.cluster.Platform, standin.Fault{})
			w.outcome(w.charge(1, key), contract.Unknown, contract.ReasonInProgress)
			w.Expect(w.executions(key)).To(BeZero())
			late := deadline < callDeadline
			w.Eventually(func() bool { return !late || time.Since(began) > deadline }).Should(BeTrue())
			w.signal(w.cluster.Instances[0], syscall.SIGCONT)
			first := <-done
			w.Expect(first.err).NotTo(HaveOccurred())
			if late {
				w.Expect(first.Verdict.Outcome).To(Equal(contract.NotRun), "%+v", first)
				w.Expect(w.executions(key)).To(BeZero())
			}
			w.Eventually(func() contract.Outcome { return w.charge(1, key).Verdict.Outcome }).Should(Equal(contract.Completed))
			w.Expect(w.executions(key)).To(Equal(1))
		})
	}
}

// transactions returns how many transactions the table service has committed or
// refused by their condition.
func (w *world) transactions() int64 {
	var counters standin.Counters
	w.Expect(testcluster.GetJSON(w.ctx, w.cluster.Platform.URL()+"/counters", &counters)).To(Succeed())
	return counters.Transactions
}

// awaitEvent waits for an event of a request in the local time line of the
// first instance.
func (w *world) awaitEvent(key, kind string) {
	w.t.Helper()
	params := oas.GetTimelineParams{
		Request: oas.NewOptString(string(testcluster.Workspace) + "/" + key), Local: oas.NewOptBool(true),
	}
	w.Eventually(func(g Gomega) {
		line, err := w.clientOf(0).Endpoint().GetTimeline(w.ctx, params)
		g.Expect(err).NotTo(HaveOccurred())
		var kinds []string
		for _, event := range line.Events {
			kinds = append(kinds, event.Kind)
		}
		g.Expect(kinds).To(ContainElement(kind))
	}, 10*time.Second, 5*time.Millisecond).Should(Succeed())
}
