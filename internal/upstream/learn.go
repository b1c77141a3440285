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

// Restarted records that a peer was restarted and has lost the entries that it
// once sent.
func (u *Upstreams) Restarted() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writer.changeLog.clearHolders()
}

// Learn applies the digest of a peer. Entries that are not newer than those of
// this instance have no effect.
func (u *Upstreams) Learn(peer contract.InstanceID, digest Digest) {
	u.stats.DigestsLearned.Add(1)
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

func (l digestApplier) apply(digest Digest) {
	for _, entry := range digest.Contacts {
		l.contact(entry)
	}
	l.changeLog.unpackContacts(digest.Repeats, l.contact)
	for _, entry := range digest.Failures {
		l.failure(entry)
	}
	for _, entry := range digest.Leaving {
		l.leaving(entry)
	}
	for _, entry := range digest.Served {
		l.served(entry)
	}
	for _, entry := range digest.Deaths {
		l.crash(entry)
	}
	for _, entry := range digest.Completions {
		l.completion(entry)
	}
	for _, entry := range digest.Survivals {
		l.refutation(entry)
	}
	for _, entry := range digest.SuspectRuns {
		l.suspectRun(entry)
	}
}

// time returns the time of an entry; ok is false if it is too far in the future
// or the entry is older than lifetime.
func (l digestApplier) time(atMS int64, lifetime time.Duration) (at time.Time, ok bool) {
	at = time.UnixMilli(atMS)
	if at.Sub(l.now) > maxClockSkew {
		l.stats.EntriesDiscarded.Add(1)
		return at, false
	}
	return at, lifetime == 0 || l.now.Sub(at) <= lifetime
}

func (l digestApplier) contact(update ContactEntry) {
	at, ok := l.time(update.AtMS, 0)
	if known := l.changeLog.contacts[update.Upstream].value; known == update {
		addHolder(l.changeLog, l.changeLog.contacts, update.Upstream, l.peer)
		return
	} else if !ok || l.entries[update.Upstream] == nil || update.AtMS <= known.AtMS {
		return
	}
	edited := l.edit(update.Upstream)
	edited.health = edited.health.PeerAnswered(at, update.Incarnation, update.Leaving)
	if edited.health.Incarnation != update.Incarnation {
		return // about a former process
	}
	if at.After(edited.load.at) {
		edited.load = edited.load.next(at, update.Running, update.Queued, edited.usage.inFlight.Load())
	}
	l.changeLog.putContact(update, l.peer)
}

func (l digestApplier) failure(update FailureEntry) {
	_, ok := l.time(update.AtMS, 0)
	if known := l.changeLog.failures[update.Upstream].value; known == update {
		addHolder(l.changeLog, l.changeLog.failures, update.Upstream, l.peer)
		return
	} else if !ok || l.entries[update.Upstream] == nil || !update.newerThan(known) {
		return
	}
	edited := l.edit(update.Upstream)
	edited.health = edited.health.PeerFailed(update.series())
	if _, watched := l.ranks[update.Upstream]; watched {
		// The peer may be cut off: a success must reach the other instances in
		// time.
		l.pollRequests = append(l.pollRequests, update.Upstream)
	}
	putChange(l.changeLog, l.changeLog.failures, update.Upstream, update, l.peer)
}

func (l digestApplier) leaving(update LeavingEntry) {
	at, ok := l.time(update.AtMS, 0)
	if known := l.changeLog.leaving[update.Upstream].value; known == update {
		addHolder(l.changeLog, l.changeLog.leaving, update.Upstream, l.peer)
		return
	} else if !ok || l.entries[update.Upstream] == nil || update.AtMS <= known.AtMS {
		return
	}
	edited := l.edit(update.Upstream)
	edited.health = edited.health.SaidLeaving(at, update.Incarnation)
	if edited.health.Leaving.Set {
		putChange(l.changeLog, l.changeLog.leaving, update.Upstream, update, l.peer)
	}
}

func (l digestApplier) served(update ServedEntry) {
	at, ok := l.time(update.AtMS, 0)
	if known := l.changeLog.served[update.Upstream].value; known.AtMS == update.AtMS && slices.Equal(known.Models, update.Models) {
		addHolder(l.changeLog, l.changeLog.served, update.Upstream, l.peer)
		return
	}
	if !ok || l.entries[update.Upstream] == nil || !at.After(l.entries[update.Upstream].served.at) {
		return
	}
	edited := l.edit(update.Upstream)
	edited.served = servedModels{at: at, models: update.Models}
	putChange(l.changeLog, l.changeLog.served, update.Upstream, update, l.peer)
}

func (l digestApplier) crash(update DeathEntry) {
	at, ok := l.time(update.AtMS, evidenceLifetime)
	if !ok || update.Upstream == "" || update.Incarnation == "" {
		return
	}
	processID := Start{Upstream: update.Upstream, Incarnation: update.Incarnation}
	contents := update.Contents
	// The crash explains a connection to the same process that this instance
	// lost.
	if unconfirmed, found := l.unconfirmed[processID]; found {
		contents = mergeContents(contents, unconfirmed.contents)
		delete(l.unconfirmed, processID)
		l.dirty = true
	}
	from := l.peer
	if len(contents) != len(update.Contents) {
		from = ""
	}
	contents = mergeContents(nil, contents)
	l.recordCrash(Death{Start: processID, FailureDomain: update.FailureDomain, At: at, Contents: contents}, from)
}

func (l digestApplier) completion(update CompletionEntry) {
	at, ok := l.time(update.AtMS, evidenceLifetime)
	if ok && l.evidence.AddCompletion(update.Content, at) {
		l.reassess = true
		putChange(l.changeLog, l.changeLog.completions, update.Content, update, l.peer)
	}
}

func (l digestApplier) refutation(update SurvivalEntry) {
	if at, ok := l.time(update.AtMS, evidenceLifetime); ok {
		l.recordAlive(Start{Upstream: update.Upstream, Incarnation: update.Incarnation}, at, l.peer)
	}
}

func (l digestApplier) suspectRun(update SuspectRunEntry) {
	at, ok := l.time(update.AtMS, suspectMarkLifetime)
	key := suspectRun{upstream: update.Upstream, content: update.Content}
	if known := l.changeLog.suspectRuns[key].value; known == update {
		addHolder(l.changeLog, l.changeLog.suspectRuns, key, l.peer)
		return
	} else if !ok || l.entries[update.Upstream] == nil || update.AtMS <= known.AtMS {
		return
	}
	if l.peerSuspects[update.Upstream] == nil {
		l.peerSuspects[update.Upstream] = make(map[ContentKey]time.Time)
	}
	l.peerSuspects[update.Upstream][update.Content] = at
	l.dirty = true
	putChange(l.changeLog, l.changeLog.suspectRuns, key, update, l.peer)
}
