package upstream

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// maxClockSkew is how far in the future an entry's time may lie. Later entries
// are discarded: they would override all correct updates.
const maxClockSkew = 5 * time.Second

// Digest returns the changes after a sequence number of an earlier Digest; 0
// returns everything.
func (u *Upstreams) Digest(since uint64) Digest { return u.DigestFor("", since) }

// DigestFor is Digest without the entries that came from the given peer.
func (u *Upstreams) DigestFor(peer contract.InstanceID, since uint64) Digest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.writer.changeLog.since(since, peer)
}

// PeerRestarted records that a peer was restarted and has lost the entries that it
// once sent.
func (u *Upstreams) PeerRestarted() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writer.changeLog.clearHolders()
}

// ApplyDigest applies the digest of a peer. Entries that are not newer than those of
// this instance have no effect.
func (u *Upstreams) ApplyDigest(peer contract.InstanceID, digest Digest) {
	u.stats.DigestsApplied.Add(1)
	if digest.Empty() {
		return
	}
	u.write(func(w *writer, now time.Time) {
		digestApplier{writer: w, peer: peer, now: now}.apply(digest)
	})
}

// digestApplier applies the digest of one peer to a writer.
type digestApplier struct {
	*writer
	peer contract.InstanceID
	now  time.Time
}

func (a digestApplier) apply(digest Digest) {
	for _, entry := range digest.Contacts {
		a.applyContact(entry)
	}
	a.changeLog.unpackContacts(digest.CompactContacts, a.applyContact)
	for _, entry := range digest.Failures {
		a.applyFailure(entry)
	}
	for _, entry := range digest.Leaving {
		a.applyLeaving(entry)
	}
	for _, entry := range digest.ServedModels {
		a.applyServedModels(entry)
	}
	for _, entry := range digest.Crashes {
		a.applyCrash(entry)
	}
	for _, entry := range digest.Completions {
		a.applyCompletion(entry)
	}
	for _, entry := range digest.CrashRefutations {
		a.applyRefutation(entry)
	}
	for _, entry := range digest.SuspectRuns {
		a.applySuspectRun(entry)
	}
}

// entryTime returns the time of an entry; ok is false if it is too far in the
// future or the entry is older than lifetime.
func (a digestApplier) entryTime(atMS int64, lifetime time.Duration) (at time.Time, ok bool) {
	at = time.UnixMilli(atMS)
	if at.Sub(a.now) > maxClockSkew {
		a.stats.EntriesDiscarded.Add(1)
		return at, false
	}
	return at, lifetime == 0 || a.now.Sub(at) <= lifetime
}

func (a digestApplier) applyContact(update ContactEntry) {
	at, ok := a.entryTime(update.AtMS, 0)
	if known := a.changeLog.contacts[update.Upstream].value; known == update {
		addHolder(a.changeLog, a.changeLog.contacts, update.Upstream, a.peer)
		return
	} else if !ok || a.entries[update.Upstream] == nil || update.AtMS <= known.AtMS {
		return
	}
	edited := a.edit(update.Upstream)
	edited.health = edited.health.ObservePeerResponse(at, update.Incarnation, update.Leaving)
	if edited.health.Incarnation != update.Incarnation {
		return // about a former process
	}
	if at.After(edited.load.at) {
		edited.load = edited.load.next(at, update.Running, update.Queued, edited.usage.inFlight.Load())
	}
	a.changeLog.putContact(update, a.peer)
}

func (a digestApplier) applyFailure(update FailureEntry) {
	_, ok := a.entryTime(update.AtMS, 0)
	if known := a.changeLog.failures[update.Upstream].value; known == update {
		addHolder(a.changeLog, a.changeLog.failures, update.Upstream, a.peer)
		return
	} else if !ok || a.entries[update.Upstream] == nil || !update.newerThan(known) {
		return
	}
	edited := a.edit(update.Upstream)
	edited.health = edited.health.ObservePeerFailure(update.series())
	if _, watched := a.ranks[update.Upstream]; watched {
		// The peer may be cut off: a success must reach the other instances in
		// time.
		a.pollRequests = append(a.pollRequests, update.Upstream)
	}
	putChange(a.changeLog, a.changeLog.failures, update.Upstream, update, a.peer)
}

func (a digestApplier) applyLeaving(update LeavingEntry) {
	at, ok := a.entryTime(update.AtMS, 0)
	if known := a.changeLog.leaving[update.Upstream].value; known == update {
		addHolder(a.changeLog, a.changeLog.leaving, update.Upstream, a.peer)
		return
	} else if !ok || a.entries[update.Upstream] == nil || update.AtMS <= known.AtMS {
		return
	}
	edited := a.edit(update.Upstream)
	edited.health = edited.health.ObserveLeaving(at, update.Incarnation)
	if edited.health.Leaving.Set {
		putChange(a.changeLog, a.changeLog.leaving, update.Upstream, update, a.peer)
	}
}

func (a digestApplier) applyServedModels(update ServedModelsEntry) {
	at, ok := a.entryTime(update.AtMS, 0)
	if known := a.changeLog.served[update.Upstream].value; known.AtMS == update.AtMS && slices.Equal(known.Models, update.Models) {
		addHolder(a.changeLog, a.changeLog.served, update.Upstream, a.peer)
		return
	}
	if !ok || a.entries[update.Upstream] == nil || !at.After(a.entries[update.Upstream].served.at) {
		return
	}
	edited := a.edit(update.Upstream)
	edited.served = servedModels{at: at, models: update.Models}
	putChange(a.changeLog, a.changeLog.served, update.Upstream, update, a.peer)
}

func (a digestApplier) applyCrash(update CrashEntry) {
	at, ok := a.entryTime(update.AtMS, evidenceLifetime)
	if !ok || update.Upstream == "" || update.Incarnation == "" {
		return
	}
	processID := ProcessID{Upstream: update.Upstream, Incarnation: update.Incarnation}
	contents := update.Contents
	// The crash explains a connection to the same process that this instance
	// lost.
	if unconfirmed, found := a.unconfirmed[processID]; found {
		contents = mergeContents(contents, unconfirmed.contents)
		delete(a.unconfirmed, processID)
		a.snapshotOutdated = true
	}
	from := a.peer
	if len(contents) != len(update.Contents) {
		from = ""
	}
	contents = mergeContents(nil, contents)
	a.recordCrash(Crash{Process: processID, FailureDomain: update.FailureDomain, At: at, Contents: contents}, from)
}

func (a digestApplier) applyCompletion(update CompletionEntry) {
	at, ok := a.entryTime(update.AtMS, evidenceLifetime)
	if ok && a.evidence.AddCompletion(update.Content, at) {
		a.assessmentsOutdated = true
		putChange(a.changeLog, a.changeLog.completions, update.Content, update, a.peer)
	}
}

func (a digestApplier) applyRefutation(update CrashRefutationEntry) {
	if at, ok := a.entryTime(update.AtMS, evidenceLifetime); ok {
		a.recordAlive(ProcessID{Upstream: update.Upstream, Incarnation: update.Incarnation}, at, a.peer)
	}
}

func (a digestApplier) applySuspectRun(update SuspectRunEntry) {
	at, ok := a.entryTime(update.AtMS, suspectMarkLifetime)
	key := suspectRun{upstream: update.Upstream, content: update.Content}
	if known := a.changeLog.suspectRuns[key].value; known == update {
		addHolder(a.changeLog, a.changeLog.suspectRuns, key, a.peer)
		return
	} else if !ok || a.entries[update.Upstream] == nil || update.AtMS <= known.AtMS {
		return
	}
	if a.peerSuspects[update.Upstream] == nil {
		a.peerSuspects[update.Upstream] = make(map[ContentKey]time.Time)
	}
	a.peerSuspects[update.Upstream][update.Content] = at
	a.snapshotOutdated = true
	putChange(a.changeLog, a.changeLog.suspectRuns, key, update, a.peer)
}
