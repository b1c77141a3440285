package upstream

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// observe applies the observation from the use of an upstream.
func (u *Upstreams) observe(used *entry, content ContentKey, observation Observation) {
	if observation.Kind == ObservedCancelled || u.isRedundant(used, content, observation) {
		return
	}
	incarnation := observation.Incarnation
	if incarnation == "" {
		incarnation = used.health.Incarnation
	}
	u.write(func(w *writer, now time.Time) {
		id := used.target.ID
		switch observation.Kind {
		case ObservedOK:
			w.recordSuccess(id, now, observation.Incarnation)
			w.clear(content, now)
		case ObservedRefused:
			w.recordSuccess(id, now, observation.Incarnation)
		case ObservedLeaving:
			w.recordLeaving(id, now, observation.Incarnation)
		case ObservedUnreachable:
			w.recordUnreachable(id, now)
			w.pollRequests = append(w.pollRequests, id)
		case ObservedConnectionLost, ObservedNoResponse:
			w.recordConnectionLost(ProcessID{Upstream: id, Incarnation: incarnation}, content, now)
		}
	})
}

// isRedundant reports whether a success adds nothing to the snapshot, so that a
// usual request takes no lock at its end.
func (u *Upstreams) isRedundant(used *entry, content ContentKey, observation Observation) bool {
	if observation.Kind != ObservedOK {
		return false
	}
	now, snapshot := u.config.Now(), u.current()
	known := snapshot.entries[used.target.ID]
	if known == nil {
		return true
	}
	recent := known.health.OwnContact.Up && now.Sub(known.health.OwnContact.At) < ownContactRefresh
	same := observation.Incarnation == "" || observation.Incarnation == known.health.Incarnation
	return recent && same && !snapshot.isSuspect(content, now)
}

// recordSuccess applies a response that may have arrived some time ago. It does
// not clear a suspicion: the upstream may have crashed since.
func (w *writer) recordSuccess(id contract.UpstreamID, now time.Time, incarnation Incarnation) {
	if known := w.entries[id]; known != nil && !known.health.Suspected() {
		w.recordResponse(id, now, LoadReport{Incarnation: incarnation}, false)
	}
}

// applyPoll applies the result of a poll.
func (u *Upstreams) applyPoll(id contract.UpstreamID, sentAt time.Time, report LoadReport, err error) {
	u.stats.Polls.Add(1)
	if err != nil {
		u.stats.PollsFailed.Add(1)
		report.Incarnation = IncarnationOf(err)
	}
	u.write(func(w *writer, now time.Time) {
		switch {
		case err == nil:
			w.recordResponse(id, sentAt, report, true)
		case errors.Is(err, ErrLeaving):
			report.Leaving = true
			w.recordResponse(id, sentAt, report, false)
		case errors.Is(err, ErrRefused):
			w.recordResponse(id, sentAt, report, false)
		case errors.Is(err, ErrUnreachable):
			w.recordUnreachable(id, now)
		default:
			w.recordPollTimeout(id, now)
		}
	})
}

// recordResponse applies a response to a request sent at the given time. hasLoad
// reports whether the report contains a load.
func (w *writer) recordResponse(id contract.UpstreamID, sentAt time.Time, report LoadReport, hasLoad bool) {
	edited := w.edit(id)
	if edited == nil {
		return
	}
	before := edited.health
	edited.health = before.ObserveResponse(sentAt, report.Incarnation, report.Leaving)
	if edited.health.OwnContact != (Contact{Up: true, At: sentAt}) {
		return // a newer contact has been recorded
	}
	if edited.health.RestartedAt != before.RestartedAt {
		w.recordRestart(edited, before, sentAt)
	}
	w.resolveUnconfirmed(id, report.Incarnation, sentAt)
	if hasLoad {
		edited.load = edited.load.next(sentAt, report.Running, report.Queued, edited.usage.inFlight.Load())
		edited.applySlots(report.Slots)
		w.queueServedModels(edited, sentAt, report.Models)
	}
	w.queueContact(edited, sentAt, hasLoad, report.Leaving)
}

// applySlots replaces the configured slots by those that the upstream reports.
func (e *entry) applySlots(reported int) {
	if reported > 0 {
		e.slots = reported
	}
}

// recordRestart records that the former process has ended. Without a leaving mark
// it has crashed; the contents that ran on it are added when their requests end.
func (w *writer) recordRestart(edited *entry, before Health, at time.Time) {
	if before.leaving() || before.lastSuccess().IsZero() {
		return
	}
	w.recordCrash(Crash{
		Process:       ProcessID{Upstream: edited.target.ID, Incarnation: before.Incarnation},
		FailureDomain: edited.target.FailureDomain,
		At:            at,
	}, "")
}

func (w *writer) recordUnreachable(id contract.UpstreamID, now time.Time) {
	edited := w.edit(id)
	if edited == nil {
		return
	}
	before := edited.health
	edited.health = before.ObserveUnreachable(now)
	w.queueFailure(id, now)
	if before.leaving() {
		w.dropUnconfirmed(id)
		return
	}
	for processID, crash := range w.unconfirmed {
		if processID.Upstream == id {
			w.confirmCrash(processID, crash, edited.target.FailureDomain)
		}
	}
	seen := before.Incarnation != "" && !before.lastSuccess().IsZero()
	if seen && !before.down(now) {
		w.recordCrash(Crash{
			Process:       ProcessID{Upstream: id, Incarnation: before.Incarnation},
			FailureDomain: edited.target.FailureDomain,
			At:            now,
		}, "")
	}
}

func (w *writer) recordPollTimeout(id contract.UpstreamID, now time.Time) {
	edited := w.edit(id)
	if edited == nil {
		return
	}
	edited.health = edited.health.ObservePollTimeout(now)
	w.queueFailure(id, now)
}

func (w *writer) recordLeaving(id contract.UpstreamID, now time.Time, incarnation Incarnation) {
	edited := w.edit(id)
	if edited == nil {
		return
	}
	edited.health = edited.health.ObserveLeaving(now, incarnation)
	w.queueLeaving(edited)
}

// recordConnectionLost records a connection that ended early or went silent. It
// counts as a crash only if the process turns out to have ended.
func (w *writer) recordConnectionLost(processID ProcessID, content ContentKey, now time.Time) {
	edited := w.edit(processID.Upstream)
	if edited == nil || edited.health.leaving() {
		return
	}
	edited.health = edited.health.Suspect(now)
	w.pollRequests = append(w.pollRequests, processID.Upstream)
	if crash, found := w.evidence.Crash(processID); found {
		crash.Contents = []ContentKey{content}
		w.recordCrash(crash, "")
		return
	}
	unconfirmed, found := w.unconfirmed[processID]
	if !found {
		unconfirmed.at = now
	}
	unconfirmed.contents = mergeContents(unconfirmed.contents, []ContentKey{content})
	w.unconfirmed[processID] = unconfirmed
}

// resolveUnconfirmed resolves the lost connections to an upstream that has
// responded to a request sent after the loss: either the same process is alive,
// or the process crashed and another one replaced it.
func (w *writer) resolveUnconfirmed(id contract.UpstreamID, incarnation Incarnation, sentAt time.Time) {
	current := ProcessID{Upstream: id, Incarnation: incarnation}
	if crash, found := w.evidence.Crash(current); found && refutesCrash(sentAt, crash.At) {
		w.recordAlive(current, sentAt, "")
	}
	for processID, crash := range w.unconfirmed {
		if processID.Upstream != id || !sentAt.After(crash.at) {
			continue
		}
		if processID.Incarnation == incarnation || processID.Incarnation == "" || incarnation == "" {
			delete(w.unconfirmed, processID)
			w.snapshotOutdated = true
			continue
		}
		w.confirmCrash(processID, crash, w.entries[id].target.FailureDomain)
	}
}

func (w *writer) confirmCrash(processID ProcessID, crash unconfirmedCrash, domain contract.FailureDomainID) {
	delete(w.unconfirmed, processID)
	w.snapshotOutdated = true
	if processID.Incarnation == "" {
		// Crashes of unknown processes must not be merged.
		processID.Incarnation = Incarnation(unknownProcessPrefix + crash.at.UTC().Format(time.RFC3339Nano))
	}
	w.recordCrash(Crash{Process: processID, FailureDomain: domain, At: crash.at, Contents: crash.contents}, "")
}

func (w *writer) dropUnconfirmed(id contract.UpstreamID) {
	for processID := range w.unconfirmed {
		if processID.Upstream == id {
			delete(w.unconfirmed, processID)
			w.snapshotOutdated = true
		}
	}
}

// clear records that a content ran to its end, if a crash is or may be
// attributed to it.
func (w *writer) clear(content ContentKey, now time.Time) {
	_, assessed := w.assessments[content]
	if !assessed && len(w.unconfirmedByContent()[content]) == 0 {
		return
	}
	if w.evidence.AddCompletion(content, now) {
		w.assessmentsOutdated = true
		putChange(w.changeLog, w.changeLog.completions, content, CompletionEntry{Content: content, AtMS: now.UnixMilli()}, "")
	}
}

// recordAlive records that a process responded after its recorded crash.
func (w *writer) recordAlive(processID ProcessID, at time.Time, from contract.InstanceID) {
	if w.evidence.AddAlive(processID, at) {
		w.assessmentsOutdated = true
		putChange(w.changeLog, w.changeLog.refutations, processID,
			CrashRefutationEntry{Upstream: processID.Upstream, Incarnation: processID.Incarnation, AtMS: at.UnixMilli()}, from)
	}
}

// queueContact queues a response for the peers if it changes their state or the
// last contact sent is about to expire.
func (w *writer) queueContact(edited *entry, at time.Time, hasLoad, leaving bool) {
	if edited.health.leaving() {
		w.queueLeaving(edited)
	}
	sent, found := w.changeLog.contacts[edited.target.ID]
	next := ContactEntry{
		Upstream:    edited.target.ID,
		AtMS:        at.UnixMilli(),
		Incarnation: edited.health.Incarnation,
		Leaving:     leaving,
		Running:     edited.load.running,
		Queued:      edited.load.queued,
	}
	if found && !w.shouldSend(edited, sent.value, next, hasLoad) {
		return
	}
	w.changeLog.putContact(next, "")
}

// shouldSend reports whether the peers need a contact although they have an older
// one: a change of state is sent immediately, a load changed by a step after
// loadRefresh, any other contact after contactRefresh. Loads change with each
// poll of a busy engine; without these limits they dominate the control traffic.
func (w *writer) shouldSend(edited *entry, old, next ContactEntry, hasLoad bool) bool {
	age := time.Duration(next.AtMS-old.AtMS) * time.Millisecond
	switch {
	case age <= 0:
		return false
	case old.Incarnation != next.Incarnation || old.Leaving != next.Leaving || w.contradicts(edited, old):
		return true
	case w.changeLog.contested(next):
		return age >= failureRefresh
	case hasLoad && edited.loadChangedByStep(old, next):
		return age >= loadRefresh+w.refreshDelay(edited.target.ID)
	default:
		return age >= contactRefresh+w.refreshDelay(edited.target.ID)
	}
}

// contradicts reports whether peers may consider the upstream down because of an
// update that is newer than the contact they have.
func (w *writer) contradicts(edited *entry, sent ContactEntry) bool {
	return w.changeLog.failures[edited.target.ID].value.AtMS > sent.AtMS ||
		edited.health.crashedAt.After(time.UnixMilli(sent.AtMS))
}

// contested reports whether contacts of another instance failed recently. An
// instance that is cut off keeps failing: successes must reach all others between
// its failures.
func (l *changeLog) contested(contact ContactEntry) bool {
	return contact.AtMS-l.failures[contact.Upstream].value.AtMS < contestedPeriod.Milliseconds()
}

// loadChangedByStep reports whether two loads differ enough to affect placement.
func (e *entry) loadChangedByStep(old, next ContactEntry) bool {
	before, now := old.Running+old.Queued, next.Running+next.Queued
	step := max(minLoadStep, before/loadStepShare, e.slots/slotStepShare)
	return max(before-now, now-before) >= step
}

// refreshDelay is how much later than the first-ranked watcher of an upstream
// this instance sends the contact again, so that usually only one watcher does.
func (w *writer) refreshDelay(id contract.UpstreamID) time.Duration {
	if w.ranks == nil {
		return 0
	}
	rank, watched := w.ranks[id]
	if !watched {
		rank = watchersPerUpstream
	}
	return time.Duration(rank) * watcherStagger
}

func (w *writer) queueServedModels(edited *entry, at time.Time, models []ModelPin) {
	same := !edited.served.at.IsZero() && slices.Equal(edited.served.models, models)
	refresh := servedModelsRefresh
	if at.Sub(edited.health.FirstSeen) < newProcessPeriod {
		refresh = newServedModelsRefresh
	}
	if same && at.Sub(edited.served.at) < refresh+w.refreshDelay(edited.target.ID) {
		return
	}
	edited.served = servedModels{at: at, models: slices.Clone(models)}
	if edited.kind == configuration.KindEngine {
		putChange(w.changeLog, w.changeLog.served, edited.target.ID,
			ServedModelsEntry{Upstream: edited.target.ID, AtMS: at.UnixMilli(), Models: edited.served.models}, "")
	}
}

func (w *writer) queueFailure(id contract.UpstreamID, now time.Time) {
	health := w.entries[id].health
	known := w.changeLog.failures[id].value
	since, last := known.series()
	next := FailureEntry{Upstream: id, AtMS: now.UnixMilli()}
	if !health.failingSince.IsZero() {
		next.SinceMS = health.failingSince.UnixMilli()
	}
	shown := health.provesDown(since, last) || health.crashedAt.After(health.lastSuccess())
	refresh := failureRefresh
	switch {
	case shown:
		refresh = knownFailureRefresh
	case health.provesDown(next.series()):
		refresh = 0 // this failure proves the upstream down to all instances
	}
	if now.Sub(last) >= refresh {
		putChange(w.changeLog, w.changeLog.failures, id, next, "")
	}
}

func (w *writer) queueLeaving(edited *entry) {
	mark := edited.health.Leaving
	next := LeavingEntry{Upstream: edited.target.ID, AtMS: mark.At.UnixMilli(), Incarnation: mark.Incarnation}
	if mark.Set && w.changeLog.leaving[edited.target.ID].value != next {
		putChange(w.changeLog, w.changeLog.leaving, edited.target.ID, next, "")
	}
}
