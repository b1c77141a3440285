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
	poisonText   = "the deadly order"
	poisonPrompt = "care guide with " + poisonText + " len=50"
	// crashBound is the guaranteed bound of engines that one content crashes.
	crashBound = 3
)

// crashEnginesOnPoison makes all engines crash on the poison prompt.
func (h *harness) crashEnginesOnPoison() {
	for _, engine := range h.cluster.Engines {
		h.setFault(engine, standin.Fault{ExitOnPrompt: poisonText})
	}
}

// sendPoison sends the poison prompt under a new key.
func (h *harness) sendPoison(instance int) (client.GenerationResult, time.Duration) {
	h.t.Helper()
	startedAt := time.Now()
	result, err := h.clientOf(instance).Generate(h.ctx, client.GenerationRequest{
		RequestID: contract.RequestID{Workspace: testcluster.OtherWorkspace, Key: contract.NewKey()},
		Service:   testcluster.GenerationService, Prompt: poisonPrompt, Seed: seed, Temperature: 1,
	})
	h.Expect(err).NotTo(HaveOccurred())
	return result, time.Since(startedAt)
}

// restartCrashed restarts the crashed engines and returns their number.
func (h *harness) restartCrashed() int {
	h.t.Helper()
	crashed := 0
	for i, engine := range h.cluster.Engines {
		select {
		case <-engine.Exited():
		default:
			continue
		}
		crashed++
		p, err := h.cluster.StartEngine(i, engine.Address)
		h.Expect(err).NotTo(HaveOccurred())
		h.cluster.Engines[i] = p
		h.Eventually(func() error {
			return testcluster.SetFault(h.ctx, p, standin.Fault{ExitOnPrompt: poisonText})
		}).Should(Succeed())
	}
	return crashed
}

// Guards against a poison prompt that crashes one engine after another when callers
// resend it at all instances, and against the loss of concurrent generations on the
// same engines.
func TestDeadlyPromptIsQuarantined(t *testing.T) {
	for name, attempts := range map[string]int{"one caller retried inside": 8, "one attempt for each caller": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, testcluster.Options{Engines: 6, AdjustDocument: func(_ *testcluster.Cluster, d *configuration.Document) {
				s := d.Services[testcluster.GenerationService]
				d.Services["other-guides"] = s
				s.MaxAttempts = attempts
				d.Services[testcluster.GenerationService] = s
				d.Rules["bystanders"] = configuration.Rule{Workspace: testcluster.Workspace, Service: "other-guides"}
			}})
			t.Cleanup(func() {
				if t.Failed() {
					t.Log(h.runTool(0, "", "timeline", "-since", "60s").stdout)
				}
			})
			h.crashEnginesOnPoison()
			harmless := h.startHarmlessGenerations(12)
			crashes := 0
			h.Eventually(func() contract.Outcome {
				instance := crashes % len(h.cluster.Instances)
				result, _ := h.sendPoison(instance)
				crashes += h.restartCrashed()
				h.Expect(crashes).To(BeNumerically("<=", crashBound))
				return result.Verdict.Outcome
			}, 30*time.Second, time.Millisecond).Should(Equal(contract.Quarantined))
			h.expectQuarantinedEverywhere()
			h.Expect(crashes + h.restartCrashed()).To(BeNumerically("<=", crashBound))
			for _, r := range harmless {
				h.expectCompleted(r)
			}
			h.expectCompleted(h.generate(h.client, 20, 0))
		})
	}
}

// startHarmlessGenerations starts n harmless generations that run beside the poison prompt.
func (h *harness) startHarmlessGenerations(n int) []*generationRun {
	h.t.Helper()
	var all []*generationRun
	for i := range n {
		r := h.generateAt(h.clientOf(i%len(h.cluster.Instances)), "other-guides", 600, 1)
		h.awaitTokens(r, 5)
		all = append(all, r)
	}
	return all
}

// expectQuarantinedEverywhere checks that each instance refuses the content immediately.
func (h *harness) expectQuarantinedEverywhere() {
	h.t.Helper()
	for i := range h.cluster.Instances {
		h.Eventually(func() contract.Outcome {
			result, _ := h.sendPoison(i)
			return result.Verdict.Outcome
		}, 3*time.Second).Should(Equal(contract.Quarantined))
		result, took := h.sendPoison(i)
		h.Expect(result.Verdict.Outcome).To(Equal(contract.Quarantined))
		h.Expect(result.Verdict.Reason).To(Equal(contract.ReasonQuarantined))
		h.Expect(result.Verdict.RetryAfter).To(BeNumerically(">", 0))
		h.Expect(took).To(BeNumerically("<", fastRefusalBound))
		h.Expect(h.runTool(i, "", "status").stdout).To(MatchRegexp(`\nCONTENT[^\n]*\n(.*\n)*[0-9a-f]{32} +3 +true +20`))
	}
}

// Guards against the quarantine of harmless contents when the engines of one failure
// domain are killed together while they run them.
func TestCrashesInOneDomainQuarantineNoContent(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{Engines: 6})
	var runs []*generationRun
	for i := range 18 {
		r := h.generate(h.clientOf(i%len(h.cluster.Instances)), 500, 1)
		h.awaitTokens(r, 5)
		runs = append(runs, r)
	}
	// Engines 0 and 3 are in one failure domain.
	for _, i := range []int{0, 3} {
		h.signal(h.cluster.Engines[i], syscall.SIGKILL)
	}
	for _, r := range runs {
		h.expectCompleted(r)
	}
	for i := range h.cluster.Instances {
		for _, r := range runs {
			h.Expect(h.sendPromptAgain(h.clientOf(i), r)).To(Equal(contract.Completed))
		}
	}
}

// sendPromptAgain resends the prompt of a generation under a new key for one token.
func (h *harness) sendPromptAgain(c *client.Client, r *generationRun) contract.Outcome {
	result, err := c.Generate(h.ctx, client.GenerationRequest{
		RequestID: contract.RequestID{Workspace: testcluster.Workspace, Key: contract.NewKey()},
		Service:   testcluster.GenerationService, Prompt: r.prompt, Seed: seed, Temperature: 1, MaxTokens: 1,
	})
	h.Expect(err).NotTo(HaveOccurred())
	return result.Verdict.Outcome
}
