package soak

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream/upstreamtest"
)

const (
	inForceBound          = 3 * time.Second // until an accepted version is in force at every instance (P8)
	quarantineSpreadBound = 3 * time.Second // until every instance has a quarantine
	// admissionBound is the queue timeout of engines plus responseBound.
	admissionBound = queueMS*time.Millisecond + responseBound
	// responseBound is the time to send the response once the outcome is known.
	responseBound = 500 * time.Millisecond
	// callRefusalBound covers the queue timeout of plain services, the store
	// timeout, one failing connection and the response.
	callRefusalBound  = 2500 * time.Millisecond
	quarantineCrashes = 3
	// maxFaultDuration is the longest duration of a fault of instances or links.
	maxFaultDuration = 6 * time.Second
)

// history records the responses that callers and operators received.
type history struct {
	mu               sync.Mutex // guards all fields
	patches          map[string][]oas.PatchResultStatus
	accepted         map[configuration.Version]string
	acceptedAt       map[configuration.Version]time.Time
	callOutcomes     map[string][]contract.Outcome // of non-idempotent calls, by key; "" for no response
	poisons          map[string]*poisonHistory
	observedVersions map[string]observedVersion // by node
	refused          []string                   // keys of generations that ended with not_run
}

type poisonHistory struct {
	senders     int
	from, until time.Time
	quarantined time.Time // first quarantined outcome
}

// observedVersion is the last observed version of one process of a node.
type observedVersion struct {
	process int
	version configuration.Version
}

func newHistory() history {
	return history{
		patches: map[string][]oas.PatchResultStatus{}, accepted: map[configuration.Version]string{},
		acceptedAt: map[configuration.Version]time.Time{}, callOutcomes: map[string][]contract.Outcome{},
		poisons: map[string]*poisonHistory{}, observedVersions: map[string]observedVersion{},
	}
}

func (h *history) addPoison(prompt string, senders int, from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.poisons[prompt] = &poisonHistory{senders: senders, from: from, until: until}
}

// noPauseOrLinkFaultSince reports whether all links and instances have worked since then.
func (h *harness) noPauseOrLinkFaultSince(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastPauseEnd.Before(since) && h.lastLinkFaultEnd.Before(since)
}

// noPauseSince reports whether no instance has been paused since then.
func (h *harness) noPauseSince(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastPauseEnd.Before(since)
}

// engineResumedSince reports whether an engine has just resumed after a pause that
// ended after since. A request sent to a paused engine may still run, so not_run is
// certain only after the engine has responded.
func (h *harness) engineResumedSince(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engineResumedAt.After(since) && time.Since(h.engineResumedAt) <= responseBound
}

func (h *harness) checkText(g client.GenerationRequest, result client.GenerationResult) {
	nonces := []uint64{0}
	if g.Temperature > 0 {
		nonces = nil
		for _, e := range h.engines {
			nonces = append(nonces, e.Config().Nonce)
		}
	}
	if wrong := upstreamtest.FirstInvalidToken(g.Prompt, pin, result.Tokens, nonces); wrong >= 0 {
		h.violation("generation %s: token %d of %d does not belong to the expected text", g.RequestID, wrong, len(result.Tokens))
	}
	if result.Verdict.Outcome == contract.Completed && int64(len(result.Tokens)) != g.MaxTokens {
		h.violation("generation %s: completed with %d of %d tokens", g.RequestID, len(result.Tokens), g.MaxTokens)
	}
}

func (h *harness) checkGeneration(
	g client.GenerationRequest, result client.GenerationResult, err error, started time.Time, submittedOnce bool,
) {
	if errors.Is(err, client.ErrCorruptStream) {
		h.violation("generation %s: %v", g.RequestID, err)
	}
	h.checkText(g, result)
	outcome := result.Verdict.Outcome
	if err != nil {
		outcome = "error"
	}
	h.count("generation " + string(outcome) + " " + string(result.Verdict.Reason))
	switch {
	case err != nil:
		h.note("generation %s: %v", g.RequestID, err)
	case outcome == contract.Quarantined:
		h.violation("generation %s of harmless content is quarantined", g.RequestID)
	case outcome == contract.NotRun:
		h.checkRefusal(g, result, started, submittedOnce)
	case outcome != contract.Completed:
		h.note("generation %s: %+v after %d tokens", g.RequestID, result.Verdict, len(result.Tokens))
	}
}

func (h *harness) checkRefusal(g client.GenerationRequest, result client.GenerationResult, started time.Time, submittedOnce bool) {
	if len(result.Tokens) > 0 {
		h.violation("generation %s: %+v after %d tokens", g.RequestID, result.Verdict, len(result.Tokens))
	}
	if result.Reconnects > 0 {
		return
	}
	if took := time.Since(started); took > admissionBound && h.noPauseSince(started) && !h.engineResumedSince(started) {
		h.violation("generation %s: refused (%s) after %s", g.RequestID, result.Verdict.Reason, took)
	}
	if submittedOnce {
		h.history.mu.Lock()
		defer h.history.mu.Unlock()
		h.history.refused = append(h.history.refused, g.RequestID.Key)
	}
}

func (h *harness) checkCall(service contract.ServiceID, key string, result client.CallResult, err error, started time.Time) {
	outcome := result.Verdict.Outcome
	if err != nil {
		outcome = ""
	}
	h.count(string(service) + " " + string(outcome) + " " + string(result.Verdict.Reason))
	if service == charges {
		h.history.mu.Lock()
		h.history.callOutcomes[key] = append(h.history.callOutcomes[key], outcome)
		h.history.mu.Unlock()
	}
	switch outcome {
	case contract.Completed:
		if want := expectedBody(key, "order "+key); result.Body != want && result.Body != "" {
			h.violation("call %s: got %q", key, result.Body)
		}
	case contract.NotRun:
		if took := time.Since(started); took > callRefusalBound && h.noPauseSince(started) {
			h.violation("call %s: refused (%s) after %s", key, result.Verdict.Reason, took)
		}
	case contract.Quarantined:
		h.violation("call %s is quarantined", key)
	}
}

// checkPatch records the result of a patch and reports whether to send the patch again.
func (h *harness) checkPatch(id string, result *oas.PatchResult, err error) bool {
	hist := &h.history
	hist.mu.Lock()
	defer hist.mu.Unlock()
	if err != nil {
		hist.patches[id] = append(hist.patches[id], oas.PatchResultStatusUnknown)
		return true
	}
	h.count("patch " + string(result.Status))
	hist.patches[id] = append(hist.patches[id], result.Status)
	if result.Status != oas.PatchResultStatusAccepted {
		return result.Status == oas.PatchResultStatusUnknown || result.Status == oas.PatchResultStatusUnavailable
	}
	version := configuration.Version(result.Version)
	if other, exists := hist.accepted[version]; exists && other != id {
		h.violation("version %d was accepted from patch %s and patch %s", version, other, id)
	}
	hist.accepted[version] = id
	if _, reported := hist.acceptedAt[version]; !reported {
		hist.acceptedAt[version] = time.Now()
	}
	return false
}

// checkVersions checks that versions in force never decrease and that accepted
// versions are in force within inForceBound at instances that admit new work.
func (h *harness) checkVersions() {
	hist := &h.history
	for _, n := range h.nodes {
		p := n.current()
		if p.instance == nil {
			continue
		}
		admits := p.instance.AdmitsNewWork()
		version := p.instance.Configuration().Version
		hist.mu.Lock()
		last := hist.observedVersions[string(n.id)]
		if last.process == p.number && version < last.version {
			h.violation("%s moved from version %d to %d", n.id, last.version, version)
		}
		hist.observedVersions[string(n.id)] = observedVersion{process: p.number, version: version}
		for accepted, at := range hist.acceptedAt {
			if admits && version < accepted && time.Since(at) > inForceBound {
				h.violation("%s admits under version %d, %d was accepted %s ago", n.id, version, accepted, time.Since(at))
			}
		}
		hist.mu.Unlock()
	}
	h.notePeerStatus()
}

// notePeerStatus notes, at the first violation, the peer status that each instance reports.
func (h *harness) notePeerStatus() {
	h.mu.Lock()
	first := len(h.violations) > 0 && !h.statusNoted
	h.statusNoted = h.statusNoted || first
	h.mu.Unlock()
	if !first {
		return
	}
	for _, n := range h.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := h.client(string(n.id)).NextEndpoint().GetStatus(ctx)
		cancel()
		if err != nil {
			h.note("%s: %v", n.id, err)
			continue
		}
		h.note("%s: %s version %d peers %+v", n.id, status.State, status.Version, status.Peers)
	}
}

func (h *harness) checkPoison(g client.GenerationRequest, result client.GenerationResult, err error, started time.Time) {
	hist := &h.history
	hist.mu.Lock()
	defer hist.mu.Unlock()
	poison := hist.poisons[g.Prompt]
	outcome := result.Verdict.Outcome
	if err != nil {
		outcome = "error"
	}
	h.count("poison " + string(outcome) + " " + string(result.Verdict.Reason))
	if outcome == contract.Completed || len(result.Tokens) > 0 {
		h.violation("poison %s completed or has tokens", g.RequestID)
	}
	took := time.Since(started)
	if outcome == contract.Quarantined && poison.quarantined.IsZero() {
		poison.quarantined = time.Now()
		h.note("%q is quarantined", g.Prompt)
	}
	expected := !poison.quarantined.IsZero() && started.Sub(poison.quarantined) > quarantineSpreadBound && h.noPauseOrLinkFaultSince(poison.from)
	if expected && err == nil && result.Reconnects == 0 && (outcome != contract.Quarantined || took > 500*time.Millisecond) {
		h.violation("poison %s: %+v after %s, quarantined %s before", g.RequestID, result.Verdict, took, started.Sub(poison.quarantined))
	}
}

// checkEnd checks the conditions that are final only after all work has ended.
func (h *harness) checkEnd() {
	hist := &h.history
	hist.mu.Lock()
	defer hist.mu.Unlock()
	h.checkExecutions()
	h.checkPatches()
	h.checkCrashes()
	started := map[string]bool{}
	for _, e := range h.engines {
		for _, s := range e.Starts() {
			started[s.Request.Key] = true
		}
	}
	for _, key := range hist.refused {
		if started[key] {
			h.violation("generation %s ended as not_run but reached an engine", key)
		}
	}
}

func (h *harness) checkExecutions() {
	for key, outcomes := range h.history.callOutcomes {
		executed := h.services.executed(key)
		completed, notRun := false, true
		for _, o := range outcomes {
			completed = completed || o == contract.Completed
			notRun = notRun && o == contract.NotRun
		}
		switch {
		case executed > 1:
			h.violation("call %s ran %d times: %v", key, executed, outcomes)
		case completed && executed == 0:
			h.violation("call %s is completed but never ran: %v", key, outcomes)
		case notRun && executed > 0:
			h.violation("call %s is not_run but ran: %v", key, outcomes)
		}
	}
}

func (h *harness) checkPatches() {
	written := map[string]bool{}
	for _, row := range h.table.Rows() {
		written[row.Key] = true
	}
	for id, statuses := range h.history.patches {
		refused := true
		for _, status := range statuses {
			refused = refused && (status == oas.PatchResultStatusConflict || status == oas.PatchResultStatusUnavailable)
		}
		accepted := statuses[len(statuses)-1] == oas.PatchResultStatusAccepted
		if applied := written["configuration/patch/"+id]; refused && applied || accepted && !applied {
			h.violation("patch %s: results %v, applied %v", id, statuses, applied)
		}
	}
}

// countEvidenceLosses counts the faults between from and until that lost evidence of crashes.
func (h *harness) countEvidenceLosses(from, until time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, at := range h.evidenceLossAt {
		if at.After(from) && at.Before(until) {
			count++
		}
	}
	return count
}

// checkCrashes bounds the number of engines that a content crashes: the crashes
// that quarantine requires, plus one for each submission already running at that
// time. Evidence is only in the memory of the instances (design page, section 10),
// so each instance that stops or is partitioned meanwhile may allow the same number again.
func (h *harness) checkCrashes() {
	crashes := map[string]int{}
	for _, e := range h.engines {
		for _, prompt := range e.Crashes() {
			crashes[prompt]++
		}
	}
	for prompt, poison := range h.history.poisons {
		bound := quarantineCrashes + poison.senders - 1
		bound *= 1 + h.countEvidenceLosses(poison.from.Add(-maxFaultDuration), poison.until)
		h.note("%q crashed %d engines, bound %d", prompt, crashes[prompt], bound)
		if crashes[prompt] > bound {
			h.violation("%q crashed %d engines, bound %d", prompt, crashes[prompt], bound)
		}
	}
}
