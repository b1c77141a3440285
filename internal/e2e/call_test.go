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

// callDeadline is the default deadline of calls.
const callDeadline = 10 * time.Second

// callOutcome is the result of a call and its duration.
type callOutcome struct {
	client.CallResult
	err  error
	took time.Duration
}

// callWithin sends a call to one instance and waits for its result.
func (h *harness) callWithin(deadline time.Duration, instance int, service contract.ServiceID, key string) callOutcome {
	call := oas.CallRequest{Path: oas.NewOptString("/charges"), Body: oas.NewOptString(`{"amount": 1200}`)}
	call.DeadlineMs.SetTo(deadline.Milliseconds())
	startedAt := time.Now()
	request := contract.RequestID{Workspace: testcluster.Workspace, Key: key}
	result, err := h.clientOf(instance).Call(h.ctx, request, service, call)
	return callOutcome{CallResult: result, err: err, took: time.Since(startedAt)}
}

func (h *harness) charge(instance int, key string) callOutcome {
	return h.callWithin(callDeadline, instance, testcluster.ChargeService, key)
}

// startCharge sends a charge in the background.
func (h *harness) startCharge(deadline time.Duration, instance int, key string) <-chan callOutcome {
	done := make(chan callOutcome, 1)
	go func() { done <- h.callWithin(deadline, instance, testcluster.ChargeService, key) }()
	return done
}

func (h *harness) expectOutcome(got callOutcome, want contract.Outcome, reason contract.Reason) {
	h.t.Helper()
	h.Expect(got.err).NotTo(HaveOccurred())
	h.Expect(got.Verdict.Outcome).To(Equal(want), "%+v", got.CallResult)
	h.Expect(got.Verdict.Reason).To(Equal(reason), "%+v", got.CallResult)
}

func (h *harness) setFault(p *testcluster.Process, fault standin.Fault) {
	h.t.Helper()
	h.Expect(testcluster.SetFault(h.ctx, p, fault)).To(Succeed())
}

func (h *harness) signal(p *testcluster.Process, signal syscall.Signal) {
	h.t.Helper()
	h.Expect(p.Signal(signal)).To(Succeed())
}

// kill sends SIGKILL to a process and waits until it has exited.
func (h *harness) kill(p *testcluster.Process) {
	h.t.Helper()
	h.signal(p, syscall.SIGKILL)
	h.Eventually(p.Exited()).Should(BeClosed())
}

func (h *harness) awaitExecutions(key string, n int) {
	h.t.Helper()
	h.Eventually(func() int { return h.executions(key) }, 10*time.Second, 5*time.Millisecond).Should(Equal(n))
}

// restartService restarts a service at its address and waits until it responds. Its
// count of executions starts at 0.
func (h *harness) restartService(i int) {
	h.t.Helper()
	p, err := h.cluster.StartService(i, h.cluster.Services[i].Address)
	h.Expect(err).NotTo(HaveOccurred())
	h.cluster.Services[i] = p
	var report standin.ExecutionReport
	h.Eventually(func() error { return testcluster.GetJSON(h.ctx, p.URL()+"/executions", &report) }).Should(Succeed())
}

// Guards against a charge that runs twice or is reported as not_run when its
// response is lost. Afterwards each instance returns the recorded outcome.
func TestChargeWithLostAnswerIsUnknown(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.setFault(h.cluster.Services[0], standin.Fault{DropResponse: true})
	key := contract.NewKey()
	h.expectOutcome(h.charge(0, key), contract.Unknown, contract.ReasonUnknownOutcome)
	h.setFault(h.cluster.Services[0], standin.Fault{})
	for i := range h.cluster.Instances {
		h.expectOutcome(h.charge(i, key), contract.Unknown, contract.ReasonUnknownOutcome)
	}
	h.Expect(h.executions(key)).To(Equal(1))
}

// Guards against a charge that is sent again after its service was killed
// before or after the execution.
func TestChargeSurvivesKillOfItsService(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"before execution": {Pause: true},
		"after execution":  {DelayMS: 30_000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, testcluster.Options{})
			h.setFault(h.cluster.Services[0], fault)
			key := contract.NewKey()
			done := h.startCharge(callDeadline, 0, key)
			if fault.Pause {
				h.awaitEvent(key, "call_sent")
			} else {
				h.awaitExecutions(key, 1)
			}
			h.kill(h.cluster.Services[0])
			outcome := <-done
			h.expectOutcome(outcome, contract.Unknown, contract.ReasonUnknownOutcome)
			h.Expect(outcome.took).To(BeNumerically("<", callDeadline/2))
			h.restartService(0)
			for i := range h.cluster.Instances {
				h.expectOutcome(h.charge(i, key), contract.Unknown, contract.ReasonUnknownOutcome)
			}
			h.Expect(h.executions(key)).To(BeZero(), "sent again after the restart")
		})
	}
}

// Guards against a late refusal when no service runs, and against a refusal that
// prevents the charge from running on a later submission.
func TestChargeWithoutServiceIsNotRunAndRunsLater(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.kill(h.cluster.Services[0])
	key := contract.NewKey()
	outcome := h.charge(0, key)
	h.Expect(outcome.err).NotTo(HaveOccurred())
	h.Expect(outcome.Verdict.Outcome).To(Equal(contract.NotRun), "%+v", outcome)
	h.Expect(outcome.Verdict.RetryAfter).To(BeNumerically(">", 0), "%+v", outcome)
	h.Expect(outcome.took).To(BeNumerically("<", 2*time.Second))
	h.restartService(0)
	h.Eventually(func() contract.Outcome { return h.charge(1, key).Verdict.Outcome }).Should(Equal(contract.Completed))
	h.Expect(h.executions(key)).To(Equal(1))
}

// Guards against a charge that is sent again, or whose outcome arrives late, when its
// service is paused beyond the deadline and resumed.
func TestChargeOnPausedService(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	service := h.cluster.Services[0]
	h.setFault(service, standin.Fault{DelayMS: 300})
	key := contract.NewKey()
	deadline := 2 * time.Second
	done := h.startCharge(deadline, 0, key)
	h.awaitExecutions(key, 1)
	h.signal(service, syscall.SIGSTOP)
	outcome := <-done
	h.Expect(outcome.err).NotTo(HaveOccurred())
	h.Expect(outcome.Verdict.Outcome).To(Equal(contract.Unknown), "%+v", outcome)
	h.Expect(outcome.took).To(BeNumerically("<", deadline+time.Second))
	h.signal(service, syscall.SIGCONT)
	for i := range h.cluster.Instances {
		h.expectOutcome(h.charge(i, key), contract.Unknown, contract.ReasonUnknownOutcome)
	}
	h.Expect(h.executions(key)).To(Equal(1))
}

// Guards against a second execution of a charge whose instance is killed between
// record and response, when the caller retries at another instance.
func TestChargeSurvivesKillOfItsInstance(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.setFault(h.cluster.Services[0], standin.Fault{DelayMS: 1000})
	key := contract.NewKey()
	done := h.startCharge(callDeadline, 0, key)
	h.awaitExecutions(key, 1)
	h.kill(h.cluster.Instances[0])
	h.Expect((<-done).err).To(HaveOccurred())
	for _, instance := range []int{1, 2, 1} {
		outcome := h.charge(instance, key)
		h.expectOutcome(outcome, contract.Unknown, contract.ReasonInProgress)
		h.Expect(outcome.took).To(BeNumerically("<", 3*time.Second))
	}
	h.Expect(h.executions(key)).To(Equal(1))
}

// Guards against a second execution, and against two different final outcomes, when
// an instance is paused during a charge and resumes after another instance responded.
func TestChargeSurvivesPauseOfItsInstance(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.setFault(h.cluster.Services[0], standin.Fault{DelayMS: 500})
	key := contract.NewKey()
	done := h.startCharge(callDeadline, 0, key)
	h.awaitExecutions(key, 1)
	h.signal(h.cluster.Instances[0], syscall.SIGSTOP)
	h.expectOutcome(h.charge(1, key), contract.Unknown, contract.ReasonInProgress)
	h.signal(h.cluster.Instances[0], syscall.SIGCONT)
	h.expectOutcome(<-done, contract.Completed, "")
	for i := range h.cluster.Instances {
		h.Eventually(func() contract.Outcome { return h.charge(i, key).Verdict.Outcome }).Should(Equal(contract.Completed))
	}
	h.Expect(h.executions(key)).To(Equal(1))
}

// Guards against not_run for a charge that runs later: an instance is paused
// after it has written the record and before it sends the charge. Another instance
// must neither run the charge nor report not_run; the paused instance may send it
// only before the deadline.
func TestChargePausedBeforeItIsSent(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"continued in time": 20 * time.Second, "continued too late": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, testcluster.Options{})
			h.setFault(h.cluster.Platform, standin.Fault{DelayMS: 800})
			key := contract.NewKey()
			startedAt := time.Now()
			before := h.transactions()
			done := h.startCharge(deadline, 0, key)
			h.awaitEvent(key, "request_admitted")
			// After 200 ms the record has been sent; the response takes 800 ms.
			admitted := time.Now()
			h.Eventually(func() bool { return time.Since(admitted) > 200*time.Millisecond }).Should(BeTrue())
			h.signal(h.cluster.Instances[0], syscall.SIGSTOP)
			h.Eventually(h.transactions).Should(BeNumerically(">", before))
			h.setFault(h.cluster.Platform, standin.Fault{})
			h.expectOutcome(h.charge(1, key), contract.Unknown, contract.ReasonInProgress)
			h.Expect(h.executions(key)).To(BeZero())
			late := deadline < callDeadline
			h.Eventually(func() bool { return !late || time.Since(startedAt) > deadline }).Should(BeTrue())
			h.signal(h.cluster.Instances[0], syscall.SIGCONT)
			first := <-done
			h.Expect(first.err).NotTo(HaveOccurred())
			if late {
				h.Expect(first.Verdict.Outcome).To(Equal(contract.NotRun), "%+v", first)
				h.Expect(h.executions(key)).To(BeZero())
			}
			h.Eventually(func() contract.Outcome { return h.charge(1, key).Verdict.Outcome }).Should(Equal(contract.Completed))
			h.Expect(h.executions(key)).To(Equal(1))
		})
	}
}

// transactions returns the number of transactions that the table service has
// committed or rejected because of their condition.
func (h *harness) transactions() int64 {
	var counters standin.PlatformCounters
	h.Expect(testcluster.GetJSON(h.ctx, h.cluster.Platform.URL()+"/counters", &counters)).To(Succeed())
	return counters.Transactions
}

// awaitEvent waits for an event of a request in the local timeline of the first
// instance.
func (h *harness) awaitEvent(key, kind string) {
	h.t.Helper()
	params := oas.GetTimelineParams{
		Request: oas.NewOptString(string(testcluster.Workspace) + "/" + key), Local: oas.NewOptBool(true),
	}
	h.Eventually(func(g Gomega) {
		line, err := h.clientOf(0).NextEndpoint().GetTimeline(h.ctx, params)
		g.Expect(err).NotTo(HaveOccurred())
		var kinds []string
		for _, event := range line.Events {
			kinds = append(kinds, event.Kind)
		}
		g.Expect(kinds).To(ContainElement(kind))
	}, 10*time.Second, 5*time.Millisecond).Should(Succeed())
}
