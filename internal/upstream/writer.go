package upstream

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

const (
	// contactRefresh is the age at which an unchanged contact is sent to the
	// peers again. It must leave enough of loadLifetime for the contact to reach
	// all instances.
	contactRefresh = 5 * time.Second
	// loadRefresh is the minimum age of the last contact sent before one with a
	// load changed by a step is sent.
	loadRefresh = 2 * time.Second
	// watcherStagger is the time in which a contact sent by one watcher reaches
	// the others.
	watcherStagger = 2500 * time.Millisecond
	// minLoadStep, loadStepShare and slotStepShare define the smallest change of
	// load that is sent: the largest of 2 requests, a quarter of the load, an
	// eighth of the slots.
	minLoadStep   = 2
	loadStepShare = 4
	slotStepShare = 8
	// ownContactRefresh is the maximum age of the last own contact while requests
	// succeed.
	ownContactRefresh = time.Second
	// failureRefresh is the age at which a failure is sent again while it does
	// not yet prove the upstream down to all instances, knownFailureRefresh
	// afterwards.
	failureRefresh      = time.Second
	knownFailureRefresh = 30 * time.Second
	// contestedPeriod is how long after a failure successes are sent at
	// failureRefresh. It must exceed the time between two polls of a watcher that
	// is cut off.
	contestedPeriod = 10 * time.Second
	// servedModelsRefresh is the age at which a list of models is sent again,
	// newServedModelsRefresh while a process is new: an instance whose
	// configuration lacks the upstream cannot apply the first list.
	servedModelsRefresh    = 5 * time.Minute
	newServedModelsRefresh = 15 * time.Second
	newProcessPeriod       = 30 * time.Second
	// unknownProcessPrefix is the prefix of the made-up incarnation of a
	// crashed process whose real one is unknown.
	unknownProcessPrefix = "unknown-"
	// unconfirmedCrashLifetime bounds the time in which a crash can explain a
	// lost connection.
	unconfirmedCrashLifetime = 5 * time.Second
)

// writer holds the state from which snapshots are built. It is not safe for
// concurrent use and reads no clock.
type writer struct {
	self                Member
	stats               *Stats
	config              *configuration.Snapshot
	entries             map[contract.UpstreamID]*entry // shared with the last snapshot while edited is nil
	edited              map[contract.UpstreamID]bool   // entries that no snapshot shares yet
	ranks               map[contract.UpstreamID]int    // rank of this instance among the watchers; nil before the first poll
	snapshotOutdated    bool
	allowed             map[grant]map[contract.UpstreamID]bool
	changeLog           *changeLog
	evidence            *Evidence
	assessments         map[ContentKey]Assessment
	assessmentsOutdated bool
	unconfirmed         map[ProcessID]unconfirmedCrash
	peerSuspects        map[contract.UpstreamID]map[ContentKey]time.Time

	upstreamStates  map[contract.UpstreamID]State // as last reported
	contentStatuses map[ContentKey]ContentStatus  // as last reported
	events          []timeline.Event
	pollRequests    []contract.UpstreamID
	urgent          bool // a crash or the placement of a suspect must reach the peers immediately
}

// unconfirmedCrash is a lost connection that may have been caused by a crash.
type unconfirmedCrash struct {
	at       time.Time
	contents []ContentKey
}

func newWriter(self Member, stats *Stats) *writer {
	return &writer{
		self:            self,
		stats:           stats,
		changeLog:       newChangeLog(),
		evidence:        NewEvidence(),
		unconfirmed:     make(map[ProcessID]unconfirmedCrash),
		peerSuspects:    make(map[contract.UpstreamID]map[ContentKey]time.Time),
		upstreamStates:  make(map[contract.UpstreamID]State),
		contentStatuses: make(map[ContentKey]ContentStatus),
	}
}

// configure applies a new configuration.
func (w *writer) configure(config *configuration.Snapshot) {
	if w.config == config {
		return
	}
	w.config = config
	w.entries = buildEntries(config, w.entries)
	w.allowed = buildAllowed(config.Document.Rules)
	w.edited = make(map[contract.UpstreamID]bool, len(w.entries))
	for id := range w.entries {
		w.edited[id] = true
	}
	w.snapshotOutdated = true
}

// edit returns an entry that may be changed until the next snapshot is published,
// or nil if there is none.
func (w *writer) edit(id contract.UpstreamID) *entry {
	known := w.entries[id]
	if known == nil || w.edited[id] {
		return known
	}
	if w.edited == nil {
		w.entries = maps.Clone(w.entries)
		w.edited = make(map[contract.UpstreamID]bool)
	}
	edited := *known
	w.entries[id] = &edited
	w.edited[id] = true
	w.snapshotOutdated = true
	return &edited
}

// publish returns the new snapshot, or nil if nothing changed.
func (w *writer) publish(now time.Time) *Snapshot {
	if w.assessmentsOutdated {
		w.assessments = w.evidence.Assess()
		w.assessmentsOutdated, w.snapshotOutdated = false, true
		w.reportContentStatuses(now)
	}
	for id := range w.edited {
		w.reportUpstreamState(id, w.entries[id], now)
	}
	if !w.snapshotOutdated {
		return nil
	}
	w.snapshotOutdated, w.edited = false, nil
	return &Snapshot{
		config:       w.config,
		entries:      w.entries,
		allowed:      w.allowed,
		assessments:  w.assessments,
		unconfirmed:  w.unconfirmedByContent(),
		lastCrashes:  w.lastCrashes(),
		peerSuspects: w.clonePeerSuspects(),
	}
}

func (w *writer) lastCrashes() map[contract.FailureDomainID]time.Time {
	last := make(map[contract.FailureDomainID]time.Time)
	update := func(domain contract.FailureDomainID, at time.Time) {
		if at.After(last[domain]) {
			last[domain] = at
		}
	}
	for _, crash := range w.evidence.crashes {
		update(crash.FailureDomain, crash.At)
	}
	for processID, crash := range w.unconfirmed {
		if known := w.entries[processID.Upstream]; known != nil {
			update(known.target.FailureDomain, crash.at)
		}
	}
	return last
}

func (w *writer) unconfirmedByContent() map[ContentKey][]contract.UpstreamID {
	byContent := make(map[ContentKey][]contract.UpstreamID)
	for processID, crash := range w.unconfirmed {
		for _, content := range crash.contents {
			byContent[content] = append(byContent[content], processID.Upstream)
		}
	}
	return byContent
}

func (w *writer) clonePeerSuspects() map[contract.UpstreamID]map[ContentKey]time.Time {
	cloned := make(map[contract.UpstreamID]map[ContentKey]time.Time, len(w.peerSuspects))
	for id, contents := range w.peerSuspects {
		cloned[id] = maps.Clone(contents)
	}
	return cloned
}

// takeOutput returns the events to record and the upstreams to poll immediately,
// and clears both.
func (w *writer) takeOutput() ([]timeline.Event, []contract.UpstreamID) {
	events, pollRequests := w.events, w.pollRequests
	w.events, w.pollRequests = nil, nil
	return events, pollRequests
}

// reportUpstreamState reports the state of an upstream if it has changed.
func (w *writer) reportUpstreamState(id contract.UpstreamID, known *entry, now time.Time) {
	state := known.health.State(now)
	before, reported := w.upstreamStates[id]
	if !reported {
		before = StateLive
	}
	if state == before {
		return
	}
	w.upstreamStates[id] = state
	w.stats.StateChanges.Add(1)
	w.events = append(w.events, timeline.Event{
		Kind: timeline.UpstreamChanged, Upstream: id,
		Detail: fmt.Sprintf("from=%s to=%s incarnation=%s", before, state, known.health.Incarnation),
	})
}

// reportUpstreamStates reports changes of state that result from the passage of
// time alone.
func (w *writer) reportUpstreamStates(now time.Time) {
	for id, known := range w.entries {
		w.reportUpstreamState(id, known, now)
	}
	maps.DeleteFunc(w.upstreamStates, func(id contract.UpstreamID, _ State) bool { return w.entries[id] == nil })
}

func (w *writer) reportContentStatuses(now time.Time) {
	for content, assessment := range w.assessments {
		status := assessment.StatusAt(now)
		before := w.contentStatuses[content]
		w.contentStatuses[content] = status
		switch {
		case status.Quarantined && !before.Quarantined:
			w.reportContentEvent(timeline.ContentQuarantined, content, status)
		case status.Crashes > before.Crashes:
			w.reportContentEvent(timeline.ContentSuspected, content, status)
		}
	}
	maps.DeleteFunc(w.contentStatuses, func(content ContentKey, _ ContentStatus) bool {
		_, found := w.assessments[content]
		return !found
	})
}

func (w *writer) reportContentEvent(kind timeline.Kind, content ContentKey, status ContentStatus) {
	w.events = append(w.events, timeline.Event{
		Kind: kind, Detail: fmt.Sprintf("content=%x deaths=%d", content, status.Crashes),
	})
}

// maintain removes expired state and repeats the marks of suspects.
func (w *writer) maintain(now time.Time) {
	if w.evidence.Expire(now) {
		w.assessmentsOutdated = true
	}
	for processID, crash := range w.unconfirmed {
		if now.Sub(crash.at) > unconfirmedCrashLifetime {
			delete(w.unconfirmed, processID)
			w.snapshotOutdated = true
		}
	}
	for id, contents := range w.peerSuspects {
		maps.DeleteFunc(contents, func(_ ContentKey, at time.Time) bool { return now.Sub(at) >= suspectMarkLifetime })
		if len(contents) == 0 || w.entries[id] == nil {
			delete(w.peerSuspects, id)
		}
	}
	w.reportUpstreamStates(now)
	w.reportContentStatuses(now) // a quarantine may have started or ended
	w.repeatSuspectRuns(now)
	w.changeLog.retain(w.entries, w.evidence, now)
}

// repeatSuspectRuns marks the upstreams of suspects that run at this instance: of
// heavy suspects as long as they run, of others for suspectMarkDuration after the
// crash. The loss of a failure domain attributes crashes to thousands of
// generations that run on for minutes; marks of all of them would displace the
// other entries of the digests.
func (w *writer) repeatSuspectRuns(now time.Time) {
	if len(w.assessments)+len(w.unconfirmed) == 0 {
		return
	}
	snapshot := &Snapshot{assessments: w.assessments, unconfirmed: w.unconfirmedByContent()}
	for id, known := range w.entries {
		known.usage.runningContents.Range(func(_, value any) bool {
			if content := value.(ContentKey); snapshot.needsMark(content, now) {
				w.markSuspectRun(id, content, now)
			}
			return true
		})
	}
}

// markSuspectRun queues a mark for the peers that a suspect runs on an upstream.
func (w *writer) markSuspectRun(id contract.UpstreamID, content ContentKey, now time.Time) {
	putChange(w.changeLog, w.changeLog.suspectRuns, suspectRun{upstream: id, content: content},
		SuspectRunEntry{Upstream: id, Content: content, AtMS: now.UnixMilli()}, "")
}

// recordCrash adds a crash to the evidence and queues it for the peers.
func (w *writer) recordCrash(crash Crash, from contract.InstanceID) {
	// Peers receive the time in milliseconds; all must hold the same one.
	crash.At = time.UnixMilli(crash.At.UnixMilli())
	_, known := w.evidence.Crash(crash.Process)
	merged, changed := w.evidence.AddCrash(crash)
	if !changed {
		return
	}
	if !known {
		w.stats.Crashes.Add(1)
	}
	if len(merged.Contents) != len(crash.Contents) || !merged.At.Equal(crash.At) {
		from = "" // the peer lacks part of it and has to receive it
	}
	w.assessmentsOutdated, w.urgent = true, true
	putChange(w.changeLog, w.changeLog.crashes, crash.Process, CrashEntry{
		Upstream:      merged.Process.Upstream,
		Incarnation:   merged.Process.Incarnation,
		FailureDomain: merged.FailureDomain,
		AtMS:          merged.At.UnixMilli(),
		Contents:      slices.Clone(merged.Contents),
	}, from)
	edited := w.edit(crash.Process.Upstream)
	if edited != nil && !crash.Process.isUnknown() {
		edited.health = edited.health.ObserveCrash(merged.At, crash.Process.Incarnation)
	}
}

// recordListed applies an entry of the platform's list. An entry without a time
// gets the time of the read.
func (w *writer) recordListed(id contract.UpstreamID, state platform.EntryState, updatedAt, now time.Time) {
	known := w.entries[id]
	if known == nil {
		return
	}
	if updatedAt.IsZero() {
		updatedAt = now
	}
	if next := known.health.ObserveListed(state, updatedAt); next != known.health {
		w.edit(id).health = next
	}
}
