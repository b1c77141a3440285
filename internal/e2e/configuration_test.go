//go:build e2e

package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/settings"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// inForceBound is the guaranteed time until an accepted version is in force at all
// instances.
const inForceBound = 3 * time.Second

// seedEachOther adds all other instances to the seeds of each instance.
func seedEachOther() func(*settings.Settings) {
	var all []*settings.Settings
	return func(s *settings.Settings) {
		for _, other := range all {
			other.Seeds = append(other.Seeds, settings.Seed{ID: s.Instance, LinkAddress: s.LinkAddress, FailureDomain: s.FailureDomain})
			s.Seeds = append(s.Seeds, settings.Seed{ID: other.Instance, LinkAddress: other.LinkAddress, FailureDomain: other.FailureDomain})
		}
		all = append(all, s)
	}
}

// newPatch returns a patch that changes a rate limit.
func newPatch(base int64, limit int) *oas.PatchRequest {
	return &oas.PatchRequest{
		PatchID: oas.Key(contract.NewKey()), BaseVersion: base,
		Patch: []byte(fmt.Sprintf(`{"workspaces":{"shop-b":{"requests_per_second":%d}}}`, limit)),
	}
}

func (h *harness) submit(instance int, patch *oas.PatchRequest) *oas.PatchResult {
	h.t.Helper()
	result, err := h.clientOf(instance).NextEndpoint().SubmitPatch(h.ctx, patch)
	h.Expect(err).NotTo(HaveOccurred())
	return result
}

// submitUntilAccepted submits a patch until it is accepted.
func (h *harness) submitUntilAccepted(instance int, patch *oas.PatchRequest) int64 {
	h.t.Helper()
	var version int64
	h.Eventually(func(g Gomega) {
		result := h.submit(instance, patch)
		g.Expect(result.Status).To(Equal(oas.PatchResultStatusAccepted), "%+v", result)
		version = result.Version
	}).Should(Succeed())
	return version
}

// submitUntilDecided submits a patch until the instance accepts or rejects it, as the
// statuses unavailable and unknown require. It returns nil after the timeout.
func (h *harness) submitUntilDecided(instance int, patch *oas.PatchRequest) *oas.PatchResult {
	var result *oas.PatchResult
	err := testcluster.Await(h.ctx, func() bool {
		response, err := h.clientOf(instance).NextEndpoint().SubmitPatch(h.ctx, patch)
		result = response
		return err == nil && response.Status != oas.PatchResultStatusUnavailable && response.Status != oas.PatchResultStatusUnknown
	})
	if err != nil {
		return nil
	}
	return result
}

// version returns the version that an instance reports, or -1 if it does not respond.
func (h *harness) version(instance int) int64 {
	var shown struct {
		Version int64 `json:"version"`
	}
	if testcluster.GetJSON(h.ctx, h.urls[instance]+"/v1/configuration", &shown) != nil {
		return -1
	}
	return shown.Version
}

// ready reports whether the readiness check of an instance succeeds.
func (h *harness) ready(instance int) bool {
	response, err := http.Get(h.urls[instance] + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close() //nolint:errcheck // only the status is needed
	return response.StatusCode == http.StatusOK
}

func (h *harness) awaitInForce(version int64, accepted time.Time) {
	h.t.Helper()
	for i := range h.cluster.Instances {
		h.Eventually(func() int64 { return h.version(i) }, inForceBound, 5*time.Millisecond).Should(BeNumerically(">=", version))
	}
	h.Expect(time.Since(accepted)).To(BeNumerically("<", inForceBound))
}

// Guards against two patches accepted against one base version, and against a version
// that takes longer than 3 s to be in force at all instances.
func TestOperatorsRaceOnOneVersion(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	for base := int64(1); base <= 10; base++ {
		results := make([]*oas.PatchResult, 2)
		var group sync.WaitGroup
		for i := range results {
			group.Go(func() { results[i] = h.submitUntilDecided(i, newPatch(base, int(base)*10+i+1)) })
		}
		group.Wait()
		accepted := time.Now()
		h.Expect(results).NotTo(ContainElement(BeNil()))
		statuses := []oas.PatchResultStatus{results[0].Status, results[1].Status}
		h.Expect(statuses).To(ConsistOf(oas.PatchResultStatusAccepted, oas.PatchResultStatusConflict))
		h.Expect(results[0].Version).To(Equal(base + 1))
		h.Expect(results[1].Version).To(Equal(base + 1))
		h.awaitInForce(base+1, accepted)
	}
}

// Guards against a patch that is accepted twice, or lost, when responses of the table
// service are lost after the commit.
func TestPatchWithLostAnswers(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	patch := newPatch(1, 5)
	h.setFault(h.cluster.Platform, standin.Fault{DropResponseRate: 0.7})
	first := h.submit(0, patch)
	h.Expect(first.Status).To(BeElementOf(
		oas.PatchResultStatusAccepted, oas.PatchResultStatusUnknown, oas.PatchResultStatusUnavailable), "%+v", first)
	h.setFault(h.cluster.Platform, standin.Fault{})
	h.Expect(h.submitUntilAccepted(1, patch)).To(Equal(int64(2)))
	h.Expect(h.submitUntilAccepted(2, patch)).To(Equal(int64(2)))
	h.Expect(h.submit(0, newPatch(1, 6)).Status).To(Equal(oas.PatchResultStatusConflict))
}

// Guards against an instance that reports or serves an older version after a restart
// during an outage of the platform, or that stays unready.
func TestRestartDuringOutageOfThePlatform(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{AdjustSettings: seedEachOther()})
	version := h.submitUntilAccepted(0, newPatch(1, 5))
	h.awaitInForce(version, time.Now())
	h.setFault(h.cluster.Platform, standin.Fault{Refuse: true})
	h.kill(h.cluster.Instances[2])
	h.Expect(h.cluster.StartInstance(2)).To(Succeed())
	highest := int64(0)
	h.Eventually(func() bool {
		ready := h.ready(2)
		shown := h.version(2)
		h.Expect(!ready || shown >= version).To(BeTrue(), "ready with version %d, accepted is %d", shown, version)
		h.Expect(shown == -1 || shown >= highest).To(BeTrue(), "version %d after %d", shown, highest)
		highest = max(highest, shown)
		return ready
	}, 15*time.Second, 5*time.Millisecond).Should(BeTrue())
	h.expectCompleted(h.generate(h.clientOf(2), 50, 0))
}

// Guards against instances that become unready, change their version or accept a
// patch while the platform is down and all instances have contact with each other.
func TestOutageOfThePlatform(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.signal(h.cluster.Platform, syscall.SIGSTOP)
	startedAt := time.Now()
	h.Consistently(func() bool { return h.ready(0) && h.ready(1) && h.ready(2) }, 6*time.Second, 20*time.Millisecond).Should(BeTrue())
	result := h.submit(0, newPatch(1, 5))
	h.Expect(result.Status).To(BeElementOf(oas.PatchResultStatusUnavailable, oas.PatchResultStatusUnknown), "%+v", result)
	for i := range h.cluster.Instances {
		h.expectCompleted(h.generate(h.clientOf(i), 50, 0))
	}
	h.Expect(time.Since(startedAt)).To(BeNumerically("<", 30*time.Second))
	h.signal(h.cluster.Platform, syscall.SIGCONT)
	h.Eventually(func() oas.PatchResultStatus { return h.submit(1, newPatch(h.version(1), 7)).Status }).
		Should(Equal(oas.PatchResultStatusAccepted))
}

// Guards against an instance that admits new work, refuses it late or aborts work in
// progress while it has no contact with the platform and its peers.
func TestIsolatedInstanceAdmitsNothing(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	running := h.generate(h.clientOf(2), 800, 1)
	h.awaitTokens(running, 50)
	paused := []*testcluster.Process{h.cluster.Platform, h.cluster.Instances[0], h.cluster.Instances[1]}
	for _, p := range paused {
		h.signal(p, syscall.SIGSTOP)
	}
	stopped := time.Now()
	h.Eventually(func() bool { return h.ready(2) }, 4*time.Second, 10*time.Millisecond).Should(BeFalse())
	h.t.Logf("unready after %s", time.Since(stopped))
	for _, service := range []contract.ServiceID{testcluster.ChargeService, testcluster.LookupService} {
		outcome := h.callWithin(callDeadline, 2, service, contract.NewKey())
		h.expectOutcome(outcome, contract.NotRun, contract.ReasonConfigurationUnconfirmed)
		h.Expect(outcome.took).To(BeNumerically("<", fastRefusalBound))
		h.Expect(outcome.Verdict.RetryAfter).To(BeNumerically(">", 0))
	}
	h.expectCompleted(running)
	h.Expect(running.result.Reconnects).To(BeZero())
	for _, p := range paused {
		h.signal(p, syscall.SIGCONT)
	}
	for i := range h.cluster.Instances {
		h.Eventually(func() bool { return h.ready(i) }, 10*time.Second, 10*time.Millisecond).Should(BeTrue())
	}
}

// Guards against an instance that moves to an older version, or admits work before it
// has caught up, after a pause in which the other instances adopted newer versions.
func TestPausedInstanceCatchesUpBeforeItAdmits(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.signal(h.cluster.Instances[2], syscall.SIGSTOP)
	version := h.submitUntilAccepted(0, newPatch(1, 5))
	removal := &oas.PatchRequest{
		PatchID: oas.Key(contract.NewKey()), BaseVersion: version,
		Patch: []byte(`{"rules":{"shop-a-order-lookups":null}}`),
	}
	version = h.submitUntilAccepted(1, removal)
	accepted := time.Now()
	h.Eventually(func() bool { return time.Since(accepted) > inForceBound }, 5*time.Second).Should(BeTrue())
	h.signal(h.cluster.Instances[2], syscall.SIGCONT)
	outcome := h.callWithin(callDeadline, 2, testcluster.LookupService, contract.NewKey())
	h.Expect(outcome.err).NotTo(HaveOccurred())
	h.Expect(outcome.Verdict.Outcome).To(Equal(contract.NotRun), "%+v\n%s", outcome, h.runTool(2, "", "timeline", "-local").stdout)
	h.awaitInForce(version, time.Now())
}
