//go:build e2e

package e2e

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

const (
	deadlyText   = "the deadly order"
	deadlyPrompt = "care guide with " + deadlyText + " len=50"
	// deathBound is the stated bound for engines that one content may crash.
	deathBound = 3
)

// arm makes all engines die of the deadly prompt.
func (w *world) arm() {
	for _, engine := range w.cluster.Engines {
		w.fault(engine, standin.Fault{DieOnPrompt: deadlyText})
	}
}

// sendDeadly sends the deadly prompt under a new key.
func (w *world) sendDeadly(instance int) (client.GenerationResult, time.Duration) {
	w.t.Helper()
	began := time.Now()
	result, err := w.clientOf(instance).Generate(w.ctx, client.Generation{
		Request: contract.RequestID{Workspace: testcluster.OtherWorkspace, Key: contract.NewKey()},
		Service: testcluster.Generations, Prompt: deadlyPrompt, Seed: seed, Temperature: 1,
	})
	w.Expect(err).NotTo(HaveOccurred())
	return result, time.Since(began)
}

// buryDead restarts the engines that have died and returns how many there were.
func (w *world) buryDead() int {
	w.t.Helper()
	dead := 0
	for i, engine := range w.cluster.Engines {
		select {
		case <-engine.Exited():
		default:
			continue
		}
		dead++
		p, err := w.cluster.StartEngine(i, engine.Address)
		w.Expect(err).NotTo(HaveOccurred())
		w.cluster.Engines[i] = p
		w.Eventually(func() error {
			return testcluster.SetFault(w.ctx, p, standin.Fault{DieOnPrompt: deadlyText})
		}).Should(Succeed())
	}
	return dead
}

// Guards against a prompt that crashes engine after engine, when its callers
// send it again and again at all instances, and against the loss of generations
// that run beside it.
func TestDeadlyPromptIsQuarantined(t *testing.T) {
	for name, attempts := range map[string]int{"one caller retried inside": 8, "one attempt for each caller": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, testcluster.Options{Engines: 6, Document: func(_ *testcluster.Cluster, d *configuration.Document) {
				s := d.Services[testcluster.Generations]
				d.Services["other-guides"] = s
				s.MaxAttempts = attempts
				d.Services[testcluster.Generations] = s
				d.Rules["bystanders"] = configuration.Rule{Workspace: testcluster.Workspace, Service: "other-guides"}
			}})
			t.Cleanup(func() {
				if t.Failed() {
					t.Log(w.tool(0, "", "timeline", "-since", "60s").stdout)
				}
			})
			w.arm()
			bystanders := w.bystanders(12)
			deaths := 0
			w.Eventually(func() contract.Outcome {
				instance := deaths % len(w.cluster.Instances)
				result, _ := w.sendDeadly(instance)
				deaths += w.buryDead()
				w.Expect(deaths).To(BeNumerically("<=", deathBound))
				return result.Verdict.Outcome
			}, 30*time.Second, time.Millisecond).Should(Equal(contract.Quarantined))
			w.quarantinedEverywhere()
			w.Expect(deaths + w.buryDead()).To(BeNumerically("<=", deathBound))
			for _, r := range bystanders {
				w.finish(r)
			}
			w.finish(w.generate(w.client, 20, 0))
		})
	}
}

// bystanders starts generations beside the deadly prompt.
func (w *world) bystanders(n int) []*run {
	w.t.Helper()
	var all []*run
	for i := range n {
		r := w.generateAt(w.clientOf(i%len(w.cluster.Instances)), "other-guides", 600, 1)
		w.awaitTokens(r, 5)
		all = append(all, r)
	}
	return all
}

// quarantinedEverywhere checks that each instance refuses the content at once.
func (w *world) quarantinedEverywhere() {
	w.t.Helper()
	for i := range w.cluster.Instances {
		w.Eventually(func() contract.Outcome {
			result, _ := w.sendDeadly(i)
			return result.Verdict.Outcome
		}, 3*time.Second).Should(Equal(contract.Quarantined))
		result, took := w.sendDeadly(i)
		w.Expect(result.Verdict.Outcome).To(Equal(contract.Quarantined))
		w.Expect(result.Verdict.Reason).To(Equal(contract.ReasonQuarantined))
		w.Expect(result.Verdict.RetryAfter).To(BeNumerically(">", 0))
		w.Expect(took).To(BeNumerically("<", usualRefusal))
		w.Expect(w.tool(i, "", "status").stdout).To(MatchRegexp(`\nCONTENT[^\n]*\n(.*\n)*[0-9a-f]{32} +3 +true +20`))
	}
}

// Guards against a quarantine when engines of one failure domain are killed
// together, again and again, below contents that have nothing to do with it.
func TestDeathsOfOneDomainQuarantineNobody(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{Engines: 6})
	var runs []*run
	for i := range 18 {
		r := w.generate(w.clientOf(i%len(w.cluster.Instances)), 500, 1)
		w.awaitTokens(r, 5)
		runs = append(runs, r)
	}
	// Engines 0 and 3 are in one failure domain.
	for _, i := range []int{0, 3} {
		w.signal(w.cluster.Engines[i], syscall.SIGKILL)
	}
	for _, r := range runs {
		w.finish(r)
	}
	for i := range w.cluster.Instances {
		for _, r := range runs {
			w.Expect(w.repeat(w.clientOf(i), r)).To(Equal(contract.Completed))
		}
	}
}

// repeat sends the prompt of a run under a new key for one token.
func (w *world) repeat(c *client.Client, r *run) contract.Outcome {
	result, err := c.Generate(w.ctx, client.Generation{
		Request: contract.RequestID{Workspace: testcluster.Workspace, Key: contract.NewKey()},
		Service: testcluster.Generations, Prompt: r.prompt, Seed: seed, Temperature: 1, MaxTokens: 1,
	})
	w.Expect(err).NotTo(HaveOccurred())
	return result.Verdict.Outcome
}
