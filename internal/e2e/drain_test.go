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

// toolRun is the result of a command of the command-line tool.
type toolRun struct {
	code   cli.ExitCode
	stdout string
	stderr string
}

// tool runs the command-line tool against one instance.
func (w *world) tool(instance int, stdin string, command string, args ...string) toolRun {
	var out, errOut bytes.Buffer
	words := append(strings.Fields(command), "-endpoints", w.cluster.Instances[instance].URL())
	code := cli.Run(w.ctx, cli.Environment{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errOut}, append(words, args...))
	return toolRun{code: code, stdout: out.String(), stderr: errOut.String()}
}

// Guards against a drain that ends with an error, or before the generations do,
// and against an instance that a drain leaves running.
func TestDrainCommandWaitsForTheLastGeneration(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	r := w.generate(w.clientOf(0), 400, 1)
	w.awaitTokens(r, 20)
	result := w.tool(0, "", "drain", "-wait")
	w.Expect(result.code).To(Equal(cli.ExitOK), "%+v", result)
	w.Expect(result.stdout).To(HavePrefix("draining=true generations=1 calls=0\n"))
	w.finish(r)
	w.Expect(r.result.Reconnects).To(BeZero())
	w.Eventually(w.cluster.Instances[0].Exited(), 10*time.Second).Should(BeClosed())
	w.Expect(w.cluster.Instances[0].ExitCode()).To(BeZero())
	w.Expect(w.tool(0, "", "drain").code).To(Equal(cli.ExitFailed))
}

// Guards against a second signal that cuts callers off.
func TestSecondTerminationChangesNothing(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	r := w.generate(w.clientOf(0), 500, 1)
	w.awaitTokens(r, 20)
	instance := w.cluster.Instances[0]
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM} {
		before := r.tokens.Load()
		w.signal(instance, signal)
		w.awaitTokens(r, before+40)
	}
	w.finish(r)
	w.Expect(r.result.Reconnects).To(BeZero())
	w.Eventually(instance.Exited(), 10*time.Second).Should(BeClosed())
	w.Expect(instance.ExitCode()).To(BeZero())
}

// balancer leads requests to instances that were ready a moment ago.
type balancer struct {
	w     *world
	ready [3]atomic.Bool
	next  atomic.Int64
}

// watch looks at each instance every 50 ms until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		for i := range b.ready {
			b.ready[i].Store(b.w.ready(i))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// choose returns the next ready instance, or the next one if none is ready.
func (b *balancer) choose() int {
	for range b.ready {
		if i := int(b.next.Add(1)) % len(b.ready); b.ready[i].Load() {
			return i
		}
	}
	return int(b.next.Add(1)) % len(b.ready)
}

// load is a steady load through a balancer.
type load struct {
	w        *world
	balancer *balancer
	stop     chan struct{}
	workers  sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	failures    []string
	generations int
	calls       int
}

func (w *world) startLoad(ctx context.Context) *load {
	l := &load{w: w, balancer: &balancer{w: w}, stop: make(chan struct{})}
	for i := range l.balancer.ready {
		l.balancer.ready[i].Store(true)
	}
	go l.balancer.watch(ctx)
	for range 6 {
		l.workers.Go(func() { l.repeat(l.generate) })
	}
	for _, service := range []contract.ServiceID{testcluster.Charges, testcluster.Lookups} {
		l.workers.Go(func() { l.repeat(func() string { return l.call(service) }) })
	}
	return l
}

func (l *load) repeat(request func() string) {
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
	r := l.w.generate(l.w.clientOf(l.balancer.choose()), 100, 1)
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

// generationFailure says what a caller saw of a planned stop, "" for nothing.
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
	a := l.w.callWithin(callDeadline, l.balancer.choose(), service, contract.NewKey())
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	switch {
	case a.err != nil:
		return string(service) + ": " + a.err.Error()
	case a.Verdict.Outcome != contract.Completed:
		return string(service) + ": " + string(a.Verdict.Outcome) + " " + string(a.Verdict.Reason)
	}
	return ""
}

// Guards against callers that notice a rolling replacement of all instances.
func TestRollingReplacementUnderLoad(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{Slots: 16})
	l := w.startLoad(w.ctx)
	for i := range w.cluster.Instances {
		instance := w.cluster.Instances[i]
		w.signal(instance, syscall.SIGTERM)
		w.Eventually(instance.Exited(), 20*time.Second).Should(BeClosed())
		w.Expect(instance.ExitCode()).To(BeZero())
		w.Expect(w.cluster.StartInstance(i)).To(Succeed())
		w.Expect(w.cluster.AwaitReady(w.ctx, w.cluster.Instances[i])).To(Succeed())
	}
	// A fast replacement must not end the load before it is worth the check.
	w.Eventually(l.finishedGenerations).Should(BeNumerically(">", 20))
	close(l.stop)
	l.workers.Wait()
	w.t.Logf("generations=%d calls=%d", l.generations, l.calls)
	w.Expect(l.failures).To(BeEmpty())
	w.Expect(l.generations).To(BeNumerically(">", 20))
}
