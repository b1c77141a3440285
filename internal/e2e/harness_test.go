//go:build e2e

package e2e

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
	// The tests build and run the programs; this import makes a change of the
	// product invalidate cached test results.
	_ "foxtailhub.example/foxtailhub/internal/instance"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// resumeBound is the guaranteed bound of resume latency.
const resumeBound = 3 * time.Second

// testTimeout bounds one test.
const testTimeout = 90 * time.Second

// clusterSlots limits the number of concurrent clusters, so that the processes of
// one test do not starve those of another.
var clusterSlots = make(chan struct{}, 4)

// harness is a running cluster with a client.
type harness struct {
	*GomegaWithT
	t       *testing.T
	ctx     context.Context
	cluster *testcluster.Cluster
	client  *client.Client
	urls    []string // of the instances; unchanged by restarts
}

// startHarness starts a cluster that is stopped at the end of the test. If the test
// fails, the directory with the logs is kept and logged.
func startHarness(t *testing.T, options testcluster.Options) *harness {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	g := NewWithT(t)
	g.SetDefaultEventuallyTimeout(20 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	dir, err := os.MkdirTemp("", "foxtailhub-e2e-")
	g.Expect(err).NotTo(HaveOccurred())
	options.Binaries = binaries
	cluster, err := testcluster.Start(ctx, dir, options)
	if err != nil {
		t.Fatalf("%v (logs in %s)", err, dir)
	}
	t.Cleanup(func() {
		cluster.Close()
		cancel()
		if t.Failed() {
			t.Logf("logs are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	connection, err := cluster.Client()
	g.Expect(err).NotTo(HaveOccurred())
	return &harness{GomegaWithT: g, t: t, ctx: ctx, cluster: cluster, client: connection, urls: cluster.URLs()}
}

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "foxtailhub-bin-")
	if err != nil {
		panic(err)
	}
	binaries = dir
	if err := testcluster.Build(context.Background(), dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// generationRun is a generation in progress.
type generationRun struct {
	request contract.RequestID
	prompt  string
	length  int
	tokens  atomic.Int64
	done    chan struct{}
	result  client.GenerationResult
	err     error
}

const seed = 7

// generate starts a generation of length tokens at the default service.
func (h *harness) generate(c *client.Client, length int, temperature float64) *generationRun {
	return h.generateAt(c, testcluster.GenerationService, length, temperature)
}

// generateAt starts a generation of length tokens at a service.
func (h *harness) generateAt(c *client.Client, service contract.ServiceID, length int, temperature float64) *generationRun {
	r := &generationRun{
		request: contract.RequestID{Workspace: testcluster.Workspace, Key: contract.NewKey()},
		prompt:  "care guide " + contract.NewKey() + " len=" + strconv.Itoa(length),
		length:  length,
		done:    make(chan struct{}),
	}
	go func() {
		defer close(r.done)
		r.result, r.err = c.Generate(h.ctx, client.GenerationRequest{
			RequestID: r.request, Service: service, Prompt: r.prompt, Seed: seed, Temperature: temperature,
			OnToken: func(contract.Token) { r.tokens.Add(1) },
		})
	}()
	return r
}

// awaitTokens waits until the caller has received n tokens.
func (h *harness) awaitTokens(r *generationRun, n int64) {
	h.t.Helper()
	h.Eventually(r.tokens.Load, 20*time.Second, 5*time.Millisecond).Should(BeNumerically(">=", n))
}

// expectCompleted waits for the end of a generation and checks that it is complete,
// that its tokens form the expected text and that no gap exceeds resumeBound.
func (h *harness) expectCompleted(r *generationRun) {
	h.t.Helper()
	select {
	case <-r.done:
	case <-h.ctx.Done():
		h.t.Fatal("the generation did not end")
	}
	h.Expect(r.err).NotTo(HaveOccurred())
	h.Expect(r.result.Verdict.Outcome).To(Equal(contract.Completed), "%+v", r.result.Verdict)
	h.Expect(r.result.Tokens).To(HaveLen(r.length))
	h.Expect(standin.VerifyText(r.prompt, seed, r.result.Tokens)).To(Succeed())
	h.t.Logf("longest_gap=%s reconnects=%d", r.result.LongestGap, r.result.Reconnects)
	h.Expect(r.result.LongestGap).To(BeNumerically("<", resumeBound))
}

// engineOf returns the engine that currently runs a generation according to the
// timeline of an instance.
func (h *harness) engineOf(r *generationRun, instance *testcluster.Process) int {
	h.t.Helper()
	c, err := client.New([]string{instance.URL()})
	h.Expect(err).NotTo(HaveOccurred())
	line, err := c.NextEndpoint().GetTimeline(h.ctx, oas.GetTimelineParams{Request: oas.NewOptString(r.request.String())})
	h.Expect(err).NotTo(HaveOccurred())
	engine := -1
	for _, event := range line.Events {
		if name, found := strings.CutPrefix(event.Upstream.Or(""), "drafting-"); found && event.Kind == "attempt_started" {
			engine, err = strconv.Atoi(name)
			h.Expect(err).NotTo(HaveOccurred())
		}
	}
	h.Expect(engine).To(BeNumerically(">=", 0), "no attempt in the timeline")
	return engine
}

// clientOf returns a client that prefers the given instances in order.
func (h *harness) clientOf(instances ...int) *client.Client {
	var urls []string
	for _, i := range instances {
		urls = append(urls, h.urls[i])
	}
	c, err := client.New(urls)
	h.Expect(err).NotTo(HaveOccurred())
	return c
}

// executions returns the number of executions of a key at all services.
func (h *harness) executions(key string) int {
	h.t.Helper()
	count := 0
	for _, service := range h.cluster.Services {
		var report standin.ExecutionReport
		h.Expect(testcluster.GetJSON(h.ctx, service.URL()+"/executions", &report)).To(Succeed())
		for _, e := range report.Executions {
			if e.Key == key {
				count += e.Count
			}
		}
	}
	return count
}

func (h *harness) logTail(p *testcluster.Process) string {
	data, _ := os.ReadFile(filepath.Clean(h.cluster.LogFile(p)))
	return string(data[max(0, len(data)-2000):])
}
