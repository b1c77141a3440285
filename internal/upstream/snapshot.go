package upstream

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	// loadLifetime is how long a load report is used. It must exceed
	// contactRefresh by the refresh delay of the watchers and the time that a
	// digest takes to arrive.
	loadLifetime = 12 * time.Second
	// suspectMarkLifetime is how long a peer's mark that a suspect runs on an
	// upstream is valid.
	suspectMarkLifetime = 3 * time.Second
	// suspectMarkDuration is how long after the crash a suspect's upstream is
	// marked. By then the other suspects of the same crash run elsewhere.
	suspectMarkDuration = 3 * time.Second
	// separationWait is how long a suspect waits for an upstream without other
	// suspects. It leaves most of the 3 s in which output has to resume.
	separationWait = time.Second
	// heavySuspectIncidents is the number of incidents that make a content a
	// heavy suspect.
	heavySuspectIncidents = 2
	// evidenceDelay is the time in which evidence reaches the other instances: a
	// few heartbeats. It delays only contents with repeated crashes and must
	// leave room in the bound on the resume latency (3 s).
	evidenceDelay = 1500 * time.Millisecond
	// defaultSlots is the number of slots of an upstream for which none are
	// configured.
	defaultSlots = 8
)

// Snapshot is an immutable snapshot of all upstreams. The request path reads the
// newest one without a lock.
type Snapshot struct {
	config      *configuration.Snapshot
	entries     map[contract.UpstreamID]*entry
	allowed     map[grant]map[contract.UpstreamID]bool // restrictions from rules
	assessments map[ContentKey]Assessment
	// unconfirmed holds, for each content, the upstreams that may have crashed
	// while running it.
	unconfirmed map[ContentKey][]contract.UpstreamID
	// lastCrashes holds the time of the last crash, confirmed or not, in each
	// failure domain.
	lastCrashes map[contract.FailureDomainID]time.Time
	// peerSuspects holds the upstreams on which peers run suspects.
	peerSuspects map[contract.UpstreamID]map[ContentKey]time.Time
}

// grant identifies the use of a service by a workspace.
type grant struct {
	workspace contract.WorkspaceID
	service   contract.ServiceID
}

// entry is one upstream in a Snapshot. It is immutable except for usage.
type entry struct {
	target Target
	kind   configuration.Kind
	slots  int
	health Health
	load   reportedLoad
	served servedModels
	usage  *usage
}

// reportedLoad is the newest load report of an upstream.
type reportedLoad struct {
	at               time.Time // zero if there is none
	running          int
	queued           int
	inFlightAtReport int64 // own requests in flight when the report was received
	includedInFlight int64 // own requests in flight that the report includes
}

// next returns the load from a newer report. Reports lag: of the own requests in
// flight, only those that ran when the previous report was received are assumed
// to be included.
func (l reportedLoad) next(at time.Time, running, queued int, inFlight int64) reportedLoad {
	return reportedLoad{
		at: at, running: running, queued: queued, inFlightAtReport: inFlight, includedInFlight: min(l.inFlightAtReport, inFlight, int64(running+queued)),
	}
}

// servedModels holds the models that an engine serves.
type servedModels struct {
	at     time.Time // zero if unknown
	models []ModelPin
}

// usage counts this instance's own requests on an upstream.
type usage struct {
	inFlight        atomic.Int64
	runningContents sync.Map // *byte per placement -> ContentKey
}

// runsOtherContent reports whether a content other than the given one, for which
// suspected returns true, runs on the upstream.
func (u *usage) runsOtherContent(content ContentKey, suspected func(ContentKey) bool) bool {
	found := false
	u.runningContents.Range(func(_, value any) bool {
		other := value.(ContentKey)
		found = other != content && suspected(other)
		return !found
	})
	return found
}

// serves reports whether an upstream serves the required model. An engine without
// a load report is assumed to serve the model configured for its service.
func (e *entry) serves(pin ModelPin, configured ModelPin) bool {
	if e.kind != configuration.KindEngine || pin == (ModelPin{}) {
		return true
	}
	if e.served.at.IsZero() {
		return pin == configured
	}
	return slices.Contains(e.served.models, pin)
}

// currentLoad returns the lagging load report plus the own requests in flight
// that it does not include.
func (e *entry) currentLoad(now time.Time) float64 {
	inFlight := e.usage.inFlight.Load()
	if e.load.at.IsZero() || now.Sub(e.load.at) >= loadLifetime {
		return float64(inFlight)
	}
	return float64(int64(e.load.running+e.load.queued) + max(0, inFlight-e.load.includedInFlight))
}

// buildEntries returns the entries for a configuration. Upstreams with the same
// address in the old entries keep their observed state.
func buildEntries(config *configuration.Snapshot, old map[contract.UpstreamID]*entry) map[contract.UpstreamID]*entry {
	entries := make(map[contract.UpstreamID]*entry, len(config.Document.Upstreams))
	for id, described := range config.Document.Upstreams {
		built := &entry{usage: &usage{}}
		if known := old[id]; known != nil {
			built.usage = known.usage
			if known.target.Address == described.Address {
				*built = *known
			}
		}
		built.target = Target{ID: id, Address: described.Address, FailureDomain: described.FailureDomain}
		built.kind = described.Kind
		built.slots = described.Slots
		if built.slots <= 0 {
			built.slots = defaultSlots
		}
		entries[id] = built
	}
	return entries
}

// buildAllowed returns the restrictions of rules that name upstreams.
func buildAllowed(rules map[string]configuration.Rule) map[grant]map[contract.UpstreamID]bool {
	allowed := make(map[grant]map[contract.UpstreamID]bool)
	unrestricted := make(map[grant]bool)
	for _, rule := range rules {
		key := grant{workspace: rule.Workspace, service: rule.Service}
		if len(rule.Upstreams) == 0 {
			unrestricted[key] = true
			continue
		}
		if allowed[key] == nil {
			allowed[key] = make(map[contract.UpstreamID]bool)
		}
		for _, id := range rule.Upstreams {
			allowed[key][id] = true
		}
	}
	maps.DeleteFunc(allowed, func(key grant, _ map[contract.UpstreamID]bool) bool { return unrestricted[key] })
	return allowed
}

// eligible returns the entries of a service that a workspace may use.
func (s *Snapshot) eligible(service contract.ServiceID, workspace contract.WorkspaceID) []*entry {
	ids := s.config.Document.Services[service].Upstreams
	allowed, restricted := s.allowed[grant{workspace: workspace, service: service}]
	found := make([]*entry, 0, len(ids))
	for _, id := range ids {
		if known := s.entries[id]; known != nil && (!restricted || allowed[id]) {
			found = append(found, known)
		}
	}
	return found
}

// configuredPin returns the model that the engines of a service are configured to
// serve.
func (s *Snapshot) configuredPin(service contract.ServiceID) ModelPin {
	described := s.config.Document.Services[service]
	return ModelPin{Model: described.Model, Version: described.ModelVersion, Adapter: described.Adapter}
}

// selectionInput returns the input of Choose and the entries of its candidates.
func (s *Snapshot) selectionInput(requirements Requirements, now time.Time) (SelectionInput, []*entry) {
	choice := SelectionInput{Requirements: requirements, Suspect: s.isSuspect(requirements.Content, now)}
	var ambiguous map[contract.FailureDomainID]bool
	if choice.Suspect {
		choice.HeavySuspect = s.isHeavySuspect(requirements.Content, now)
		choice.MayShareUpstream = !choice.HeavySuspect && s.waitedForSeparation(requirements.Content, now)
		choice.CrashedUpstreams = s.crashedUpstreams(requirements.Content, now)
		choice.OtherHeavySuspects = s.otherHeavySuspects(requirements.Content, now)
		ambiguous = s.ambiguousDomains(requirements.Content, now)
	}
	suspected := func(other ContentKey) bool { return s.isSuspect(other, now) }
	heavy := func(other ContentKey) bool { return s.isHeavySuspect(other, now) }
	pin := s.configuredPin(requirements.Service)
	eligible := s.eligible(requirements.Service, requirements.Workspace)
	candidates := make([]*entry, 0, len(eligible))
	choice.Candidates = make([]Candidate, 0, len(eligible))
	for _, known := range eligible {
		if known.health.State(now) != StateLive || !known.serves(requirements.Pin, pin) {
			continue
		}
		candidates = append(candidates, known)
		choice.Candidates = append(choice.Candidates, Candidate{
			Target:           known.target,
			Load:             known.currentLoad(now),
			Slots:            known.slots,
			Suspected:        known.health.Suspected(),
			RunsSuspect:      choice.Suspect && s.runsSuspect(known, requirements.Content, now, suspected),
			RunsHeavySuspect: choice.Suspect && s.runsSuspect(known, requirements.Content, now, heavy),
			AmbiguousDomain:  ambiguous[known.target.FailureDomain],
		})
	}
	for _, id := range slices.Concat(requirements.Avoid, choice.CrashedUpstreams) {
		if known := s.entries[id]; known != nil {
			choice.AvoidDomains = append(choice.AvoidDomains, known.target.FailureDomain)
		}
	}
	return choice, candidates
}

// crashCount returns the number of crashes that count against a content,
// including unconfirmed ones.
func (s *Snapshot) crashCount(content ContentKey, now time.Time) int {
	return s.assessments[content].StatusAt(now).Crashes + len(s.unconfirmed[content])
}

// crashedUpstreams returns the upstreams that crashed while running a content,
// whatever the cause, and those that may have crashed.
func (s *Snapshot) crashedUpstreams(content ContentKey, now time.Time) []contract.UpstreamID {
	ids := distinctUpstreams(s.assessments[content].recentCrashes(now))
	for _, id := range s.unconfirmed[content] {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isSuspect reports whether an upstream may have crashed because of a content.
func (s *Snapshot) isSuspect(content ContentKey, now time.Time) bool {
	return content != ContentKey{} && (s.crashCount(content, now) > 0 || s.isHeavySuspect(content, now))
}

// waitedForSeparation reports whether the last confirmed crash of a content was
// at least separationWait ago, so that it may be placed beside other suspects.
func (s *Snapshot) waitedForSeparation(content ContentKey, now time.Time) bool {
	recent := s.assessments[content].recentCrashes(now)
	return len(recent) > 0 && now.Sub(recent[len(recent)-1].at) >= separationWait
}

// isHeavySuspect reports whether upstreams crashed repeatedly while running a
// content, even if each crash coincided with others.
func (s *Snapshot) isHeavySuspect(content ContentKey, now time.Time) bool {
	assessment := s.assessments[content]
	repeatedCrashes := max(incidents(assessment.recentCrashes(now)), len(distinctUpstreams(assessment.countingCrashes(now))))
	return repeatedCrashes+len(s.unconfirmed[content]) >= heavySuspectIncidents
}

// needsMark reports whether the peers must receive the upstream on which a
// content runs.
func (s *Snapshot) needsMark(content ContentKey, now time.Time) bool {
	if s.isHeavySuspect(content, now) {
		return true
	}
	recent := s.assessments[content].recentCrashes(now)
	recentlyCrashed := len(recent) == 0 || now.Sub(recent[len(recent)-1].at) < suspectMarkDuration
	return recentlyCrashed && s.isSuspect(content, now)
}

// isDeferred reports whether a content must not be placed now: it is quarantined
// or about to be, or it is a heavy suspect and the evidence of its last crash may
// not have reached all instances.
func (s *Snapshot) isDeferred(content ContentKey, now time.Time) bool {
	if content == (ContentKey{}) {
		return false
	}
	assessment := s.assessments[content]
	if assessment.identified(now) || s.crashCount(content, now) >= quarantineCrashes {
		return true
	}
	recent := assessment.recentCrashes(now)
	return len(recent) > 0 && s.isHeavySuspect(content, now) && now.Sub(recent[len(recent)-1].at) < evidenceDelay
}

// otherHeavySuspects returns the heavy suspects other than a content.
func (s *Snapshot) otherHeavySuspects(content ContentKey, now time.Time) []HeavySuspect {
	var otherHeavySuspects []HeavySuspect
	for other, assessment := range s.assessments {
		if other != content && s.isHeavySuspect(other, now) && !assessment.identified(now) {
			otherHeavySuspects = append(otherHeavySuspects, HeavySuspect{Content: other, CrashedUpstreams: s.crashedUpstreams(other, now)})
		}
	}
	return otherHeavySuspects
}

// runsSuspect reports whether another content, for which suspected returns
// true, runs on an upstream.
func (s *Snapshot) runsSuspect(known *entry, content ContentKey, now time.Time, suspected func(ContentKey) bool) bool {
	for other, at := range s.peerSuspects[known.target.ID] {
		if other != content && now.Sub(at) < suspectMarkLifetime && suspected(other) {
			return true
		}
	}
	return known.usage.runsOtherContent(content, suspected)
}

// ambiguousDomains returns the failure domains in which a further crash could not
// be attributed to a content: an upstream crashed there within the correlation
// window, or another heavy suspect runs there.
func (s *Snapshot) ambiguousDomains(content ContentKey, now time.Time) map[contract.FailureDomainID]bool {
	ambiguous := make(map[contract.FailureDomainID]bool)
	for domain, at := range s.lastCrashes {
		ambiguous[domain] = now.Sub(at) <= correlationWindow
	}
	for _, known := range s.entries {
		domain := known.target.FailureDomain
		ambiguous[domain] = ambiguous[domain] || s.runsSuspect(known, content, now, func(other ContentKey) bool {
			return s.isHeavySuspect(other, now)
		})
	}
	return ambiguous
}
