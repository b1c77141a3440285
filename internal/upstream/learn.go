package upstream

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// maxClockSkew is how far in the future an entry's time may lie. Later ones are
// discarded: they would override all true news.
const maxClockSkew = 5 * time.Second

// Digest returns what has changed since a number that an earlier Digest
// carried; 0 returns everything.
func (u *Upstreams) Digest(since uint64) Digest { return u.DigestFor("", since) }

// DigestFor is Digest without the entries that came from the peer itself.
func (u *Upstreams) DigestFor(peer contract.InstanceID, since uint64) Digest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.writer.ledger.since(since, peer)
}

// Restarted tells that a peer was restarted: it lacks what it once sent.
func (u *Upstreams) Restarted() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writer.ledger.forgetHolders()
}

// Learn applies the digest of a peer. Entries that are older than what is known
// have no effect.
func (u *Upstreams) Learn(peer contract.InstanceID, digest Digest) {
	u.stats.DigestsLearned.Add(1)
	if digest.Empty() {
		return
	}
	u.write(func(w *writer, now time.Time) {
		learner{writer: w, peer: peer, now: now}.learn(digest)
	})
}

// learner applies the digest of one peer to a writer.
type learner struct {
	*writer
	peer contract.InstanceID
	now  time.Time
}

func (l learner) learn(digest Digest) {
	for _, entry := range digest.Contacts {
		l.contact(entry)
	}
	l.ledger.unpackContacts(digest.Repeats, l.contact)
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
		l.death(entry)
	}
	for _, entry := range digest.Completions {
		l.completion(entry)
	}
	for _, entry := range digest.Survivals {
		l.survival(entry)
	}
	for _, entry := range digest.SuspectRuns {
		l.suspectRun(entry)
	}
}

// time returns the time of an entry; ok is false if it is impossible or the
// entry is older than lifetime.
func (l learner) time(atMS int64, lifetime time.Duration) (at time.Time, ok bool) {
	at = time.UnixMilli(atMS)
	if at.Sub(l.now) > maxClockSkew {
		l.stats.EntriesDiscarded.Add(1)
		return at, false
	}
	return at, lifetime == 0 || l.now.Sub(at) <= lifetime
}

func (l learner) contact(news ContactEntry) {
	at, ok := l.time(news.AtMS, 0)
	if known := l.ledger.contacts[news.Upstream].value; known == news {
		repeated(l.ledger, l.ledger.contacts, news.Upstream, l.peer)
		return
	} else if !ok || l.entries[news.Upstream] == nil || news.AtMS <= known.AtMS {
		return
	}
	edited := l.edit(news.Upstream)
	edited.health = edited.health.PeerAnswered(at, news.Incarnation, news.Leaving)
	if edited.health.Incarnation != news.Incarnation {
		return // about a former process
	}
	if at.After(edited.load.at) {
		edited.load = edited.load.next(at, news.Running, news.Queued, edited.use.inFlight.Load())
	}
	l.ledger.putContact(news, l.peer)
}

func (l learner) failure(news FailureEntry) {
	_, ok := l.time(news.AtMS, 0)
	if known := l.ledger.failures[news.Upstream].value; known == news {
		repeated(l.ledger, l.ledger.failures, news.Upstream, l.peer)
		return
	} else if !ok || l.entries[news.Upstream] == nil || !news.newerThan(known) {
		return
	}
	edited := l.edit(news.Upstream)
	edited.health = edited.health.PeerFailed(news.series())
	if _, watched := l.ranks[news.Upstream]; watched {
		// The peer may be cut off: a success must reach the others in time.
		l.kicks = append(l.kicks, news.Upstream)
	}
	put(l.ledger, l.ledger.failures, news.Upstream, news, l.peer)
}

func (l learner) leaving(news LeavingEntry) {
	at, ok := l.time(news.AtMS, 0)
	if known := l.ledger.leaving[news.Upstream].value; known == news {
		repeated(l.ledger, l.ledger.leaving, news.Upstream, l.peer)
		return
	} else if !ok || l.entries[news.Upstream] == nil || news.AtMS <= known.AtMS {
		return
	}
	edited := l.edit(news.Upstream)
	edited.health = edited.health.SaidLeaving(at, news.Incarnation)
	if edited.health.Leaving.Set {
		put(l.ledger, l.ledger.leaving, news.Upstream, news, l.peer)
	}
}

func (l learner) served(news ServedEntry) {
	at, ok := l.time(news.AtMS, 0)
	if known := l.ledger.served[news.Upstream].value; known.AtMS == news.AtMS && slices.Equal(known.Models, news.Models) {
		repeated(l.ledger, l.ledger.served, news.Upstream, l.peer)
		return
	}
	if !ok || l.entries[news.Upstream] == nil || !at.After(l.entries[news.Upstream].served.at) {
		return
	}
	edited := l.edit(news.Upstream)
	edited.served = servedModels{at: at, models: news.Models}
	put(l.ledger, l.ledger.served, news.Upstream, news, l.peer)
}

func (l learner) death(news DeathEntry) {
	at, ok := l.time(news.AtMS, evidenceLifetime)
	if !ok || news.Upstream == "" || news.Incarnation == "" {
		return
	}
	start := Start{Upstream: news.Upstream, Incarnation: news.Incarnation}
	contents := news.Contents
	// A lost connection of this instance to the same process is explained.
	if unconfirmed, found := l.unconfirmed[start]; found {
		contents = mergeContents(contents, unconfirmed.contents)
		delete(l.unconfirmed, start)
		l.dirty = true
	}
	from := l.peer
	if len(contents) != len(news.Contents) {
		from = ""
	}
	contents = mergeContents(nil, contents)
	l.recordDeath(Death{Start: start, FailureDomain: news.FailureDomain, At: at, Contents: contents}, from)
}

func (l learner) completion(news CompletionEntry) {
	at, ok := l.time(news.AtMS, evidenceLifetime)
	if ok && l.evidence.AddCompletion(news.Content, at) {
		l.reassess = true
		put(l.ledger, l.ledger.completions, news.Content, news, l.peer)
	}
}

func (l learner) survival(news SurvivalEntry) {
	if at, ok := l.time(news.AtMS, evidenceLifetime); ok {
		l.survived(Start{Upstream: news.Upstream, Incarnation: news.Incarnation}, at, l.peer)
	}
}

func (l learner) suspectRun(news SuspectRunEntry) {
	at, ok := l.time(news.AtMS, suspectMarkLifetime)
	key := suspectRun{upstream: news.Upstream, content: news.Content}
	if known := l.ledger.suspectRuns[key].value; known == news {
		repeated(l.ledger, l.ledger.suspectRuns, key, l.peer)
		return
	} else if !ok || l.entries[news.Upstream] == nil || news.AtMS <= known.AtMS {
		return
	}
	if l.peerSuspects[news.Upstream] == nil {
		l.peerSuspects[news.Upstream] = make(map[ContentKey]time.Time)
	}
	l.peerSuspects[news.Upstream][news.Content] = at
	l.dirty = true
	put(l.ledger, l.ledger.suspectRuns, key, news, l.peer)
}
