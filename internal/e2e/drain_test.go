//go:build e2e

package e2e

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/cli"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// toolRun is the result of one run of the command-line tool.
type toolRun struct {
	code   cli.ExitCode
	stdout string
	stderr string
}

// runTool runs the command-line tool against one instance.
func (h *harness) runTool(instance int, stdin string, command string, args ...string) toolRun {
	var out, errOut bytes.Buffer
	arguments := append(strings.Fields(command), "-endpoints", h.cluster.Instances[instance].URL())
	code := cli.Run(h.ctx, cli.IOStreams{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errOut}, append(arguments, args...))
	return toolRun{code: code, stdout: out.String(), stderr: errOut.String()}
}

// Guards against a drain command that fails or returns before the last generation has
// ended, and against an instance that does not exit after a drain.
func TestDrainCommandWaitsForTheLastGeneration(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	r := h.generate(h.clientOf(0), 400, 1)
	h.awaitTokens(r, 20)
	result := h.runTool(0, "", "drain", "-wait")
	h.Expect(result.code).To(Equal(cli.ExitOK), "%+v", result)
	h.Expect(result.stdout).To(HavePrefix("draining=true generations=1 calls=0\n"))
	h.expectCompleted(r)
	h.Expect(r.result.Reconnects).To(BeZero())
	h.Eventually(h.cluster.Instances[0].Exited(), 10*time.Second).Should(BeClosed())
	h.Expect(h.cluster.Instances[0].ExitCode()).To(BeZero())
	h.Expect(h.runTool(0, "", "drain").code).To(Equal(cli.ExitFailed))
}

// Guards against a second termination signal that cuts callers off.
func TestRepeatedTerminationSignalsChangeNothing(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	r := h.generate(h.clientOf(0), 500, 1)
	h.awaitTokens(r, 20)
	instance := h.cluster.Instances[0]
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM} {
		before := r.tokens.Load()
		h.signal(instance, signal)
		h.awaitTokens(r, before+40)
	}
	h.expectCompleted(r)
	h.Expect(r.result.Reconnects).To(BeZero())
	h.Eventually(instance.Exited(), 10*time.Second).Should(BeClosed())
	h.Expect(instance.ExitCode()).To(BeZero())
}

// balancer chooses instances by their last readiness check.
type balancer struct {
	h     *harness
	ready [3]atomic.Bool
	next  atomic.Int64
}

// pollReadiness checks each instance every 50 ms until ctx ends.
func (b *balancer) pollReadiness(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		for i := range b.ready {
			b.ready[i].Store(b.h.ready(i))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// choose returns the next ready instance, or the next instance if none is ready.
func (b *balancer) choose() int {
	for range b.ready {
		if i := int(b.next.Add(1)) % len(b.ready); b.ready[i].Load() {
			return i
		}
	}
	return int(b.next.Add(1)) % len(b.ready)
}

// load sends a steady load through a balancer.
type load struct {
	h        *harness
	balancer *balancer
	stop     chan struct{}
	workers  sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	failures    []string
	generations int
	calls       int
}

func (h *harness) startLoad(ctx context.Context) *load {
	l := &load{h: h, balancer: &balancer{h: h}, stop: make(chan struct{})}
	for i := range l.balancer.ready {
		l.balancer.ready[i].Store(true)
	}
	go l.balancer.pollReadiness(ctx)
	for range 6 {
		l.workers.Go(func() { l.sendUntilStopped(l.generate) })
	}
	for _, service := range []contract.ServiceID{testcluster.ChargeService, testcluster.LookupService} {
		l.workers.Go(func() { l.sendUntilStopped(func() string { return l.call(service) }) })
	}
	return l
}

func (l *load) sendUntilStopped(request func() string) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		if failure := request(); failure != "" {
			l.mu.Lock()
			l.failures = append(l.failures, failure)
			l.mu.Unlock()
		}
	}
}

func (l *load) generate() string {
	r := l.h.generate(l.h.clientOf(l.balancer.choose()), 100, 1)
	<-r.done
	l.mu.Lock()
	l.generations++
	l.mu.Unlock()
	return generationFailure(r.result, r.err)
}

func (l *load) finishedGenerations() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generations
}

// generationFailure returns how a generation differs from a complete, unbroken one, or "".
func generationFailure(result client.GenerationResult, err error) string {
	switch {
	case err != nil:
		return "generation: " + err.Error()
	case result.Verdict.Outcome != contract.Completed:
		return "generation: " + string(result.Verdict.Outcome) + " " + string(result.Verdict.Reason)
	case result.Reconnects > 0:
		return "generation: reconnected"
	case len(result.Tokens) != 100:
		return "generation: tokens are missing"
	}
	return ""
}

func (l *load) call(service contract.ServiceID) string {
	outcome := l.h.callWithin(callDeadline, l.balancer.choose(), service, contract.NewKey())
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	switch {
	case outcome.err != nil:
		return string(service) + ": " + outcome.err.Error()
	case outcome.Verdict.Outcome != contract.Completed:
		return string(service) + ": " + string(outcome.Verdict.Outcome) + " " + string(outcome.Verdict.Reason)
	}
	return ""
}

// Guards against failures and reconnects of callers during a rolling replacement.
func TestRollingReplacementUnderLoad(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{Slots: 16})
	l := h.startLoad(h.ctx)
	for i := range h.cluster.Instances {
		instance := h.cluster.Instances[i]
		h.signal(instance, syscall.SIGTERM)
		h.Eventually(instance.Exited(), 20*time.Second).Should(BeClosed())
		h.Expect(instance.ExitCode()).To(BeZero())
		h.Expect(h.cluster.StartInstance(i)).To(Succeed())
		h.Expect(h.cluster.AwaitReady(h.ctx, h.cluster.Instances[i])).To(Succeed())
	}
	// A fast replacement must not end the load before enough generations have finished.
	h.Eventually(l.finishedGenerations).Should(BeNumerically(">", 20))
	close(l.stop)
	l.workers.Wait()
	h.t.Logf("generations=%d calls=%d", l.generations, l.calls)
	h.Expect(l.failures).To(BeEmpty())
	h.Expect(l.generations).To(BeNumerically(">", 20))
}
