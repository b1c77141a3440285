package upstream

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Digest is the state of upstreams that an instance sends to its peers. Each
// entry carries the time of its first observer; an older entry never replaces a
// newer one. Times are Unix milliseconds.
type Digest struct {
	// Seq is the sequence number up to which the digest is complete; it is the
	// argument of the next call of Upstreams.Digest.
	Seq              uint64                 `cbor:"1,keyasint,omitempty"`
	Contacts         []ContactEntry         `cbor:"2,keyasint,omitempty"`
	Failures         []FailureEntry         `cbor:"3,keyasint,omitempty"`
	Leaving          []LeavingEntry         `cbor:"4,keyasint,omitempty"`
	ServedModels     []ServedModelsEntry    `cbor:"5,keyasint,omitempty"`
	Crashes          []CrashEntry           `cbor:"6,keyasint,omitempty"`
	Completions      []CompletionEntry      `cbor:"7,keyasint,omitempty"`
	CrashRefutations []CrashRefutationEntry `cbor:"8,keyasint,omitempty"`
	SuspectRuns      []SuspectRunEntry      `cbor:"9,keyasint,omitempty"`
	// SenderRun identifies the run of the sender's process until the receiver has
	// acknowledged it; 0 afterwards.
	SenderRun uint32 `cbor:"10,keyasint,omitempty"`
	// CompactContacts holds contacts with processes that the receiver already has, in the
	// compact form of packContacts.
	CompactContacts []byte `cbor:"11,keyasint,omitempty"`
}

// Empty reports whether the digest has no entries.
func (d Digest) Empty() bool {
	return len(d.Contacts)+len(d.CompactContacts)+len(d.Failures)+len(d.Leaving)+len(d.ServedModels)+
		len(d.Crashes)+len(d.Completions)+len(d.CrashRefutations)+len(d.SuspectRuns) == 0
}

// OnlyCompactContacts reports whether all entries are contacts that change no state.
func (d Digest) OnlyCompactContacts() bool {
	compact := d.CompactContacts
	d.CompactContacts = nil
	return len(compact) > 0 && d.Empty() && d.SenderRun == 0
}

// ContactEntry is a response of an upstream with its load.
type ContactEntry struct {
	_           struct{} `cbor:",toarray"`
	Upstream    contract.UpstreamID
	AtMS        int64
	Incarnation Incarnation
	Leaving     bool
	Running     int
	Queued      int
}

// FailureEntry is a failed contact of an observer, and the time since which its
// contacts have failed, 0 if unknown.
type FailureEntry struct {
	_        struct{} `cbor:",toarray"`
	Upstream contract.UpstreamID
	AtMS     int64
	SinceMS  int64
}

// newerThan orders failures by time, and failures of the same time by the length
// of the series.
func (f FailureEntry) newerThan(other FailureEntry) bool {
	return f.AtMS > other.AtMS || f.AtMS == other.AtMS && f.SinceMS < other.SinceMS
}

// series returns the period in which contacts failed; since is zero if unknown.
func (f FailureEntry) series() (since, last time.Time) {
	if f.SinceMS != 0 {
		since = time.UnixMilli(f.SinceMS)
	}
	return since, time.UnixMilli(f.AtMS)
}

// LeavingEntry is a leaving mark that came from the upstream itself.
type LeavingEntry struct {
	_           struct{} `cbor:",toarray"`
	Upstream    contract.UpstreamID
	AtMS        int64
	Incarnation Incarnation
}

// ServedModelsEntry holds the models that an engine serves. They change rarely and are
// therefore not part of ContactEntry.
type ServedModelsEntry struct {
	_        struct{} `cbor:",toarray"`
	Upstream contract.UpstreamID
	AtMS     int64
	Models   []ModelPin
}

// CrashEntry is a confirmed crash with the contents that ran, as far as known.
type CrashEntry struct {
	_             struct{} `cbor:",toarray"`
	Upstream      contract.UpstreamID
	Incarnation   Incarnation
	FailureDomain contract.FailureDomainID
	AtMS          int64
	Contents      []ContentKey
}

// CompletionEntry is the completion of a content to which a crash was attributed.
type CompletionEntry struct {
	_       struct{} `cbor:",toarray"`
	Content ContentKey
	AtMS    int64
}

// CrashRefutationEntry is a response of a process after its recorded crash, which
// refutes the crash.
type CrashRefutationEntry struct {
	_           struct{} `cbor:",toarray"`
	Upstream    contract.UpstreamID
	Incarnation Incarnation
	AtMS        int64
}

// SuspectRunEntry reports that a suspect runs on an upstream.
type SuspectRunEntry struct {
	_        struct{} `cbor:",toarray"`
	Upstream contract.UpstreamID
	Content  ContentKey
	AtMS     int64
}

// versioned is an entry with the sequence number of its last change at this
// instance and the peers that have sent the same value.
type versioned[T any] struct {
	value   T
	seq     uint64
	holders peerSet
}

// suspectRun is the key of a SuspectRunEntry.
type suspectRun struct {
	upstream contract.UpstreamID
	content  ContentKey
}

// changeLog holds the newest entry of each kind and numbers the changes. It is
// not safe for concurrent use and reads no clock.
type changeLog struct {
	seq         uint64
	peers       map[contract.InstanceID]peerSet
	contacts    map[contract.UpstreamID]versioned[ContactEntry]
	processes   map[contract.UpstreamID]process // the process of each entry of contacts
	byLabel     map[label]contract.UpstreamID   // of processes
	failures    map[contract.UpstreamID]versioned[FailureEntry]
	leaving     map[contract.UpstreamID]versioned[LeavingEntry]
	served      map[contract.UpstreamID]versioned[ServedModelsEntry]
	crashes     map[ProcessID]versioned[CrashEntry]
	completions map[ContentKey]versioned[CompletionEntry]
	refutations map[ProcessID]versioned[CrashRefutationEntry]
	suspectRuns map[suspectRun]versioned[SuspectRunEntry]
}

func newChangeLog() *changeLog {
	return &changeLog{
		peers:       make(map[contract.InstanceID]peerSet),
		contacts:    make(map[contract.UpstreamID]versioned[ContactEntry]),
		processes:   make(map[contract.UpstreamID]process),
		byLabel:     make(map[label]contract.UpstreamID),
		failures:    make(map[contract.UpstreamID]versioned[FailureEntry]),
		leaving:     make(map[contract.UpstreamID]versioned[LeavingEntry]),
		served:      make(map[contract.UpstreamID]versioned[ServedModelsEntry]),
		crashes:     make(map[ProcessID]versioned[CrashEntry]),
		completions: make(map[ContentKey]versioned[CompletionEntry]),
		refutations: make(map[ProcessID]versioned[CrashRefutationEntry]),
		suspectRuns: make(map[suspectRun]versioned[SuspectRunEntry]),
	}
}

// putChange stores an entry under the next sequence number. from is the peer that
// sent it, "" for an observation of this instance.
func putChange[K comparable, T any](l *changeLog, entries map[K]versioned[T], key K, value T, from contract.InstanceID) {
	l.seq++
	entries[key] = versioned[T]{value: value, seq: l.seq, holders: l.peerSetOf(from)}
}

// addHolder records that a peer has sent an entry that this instance already has:
// it need not be sent to that peer.
func addHolder[K comparable, T any](l *changeLog, entries map[K]versioned[T], key K, from contract.InstanceID) {
	if known, found := entries[key]; found {
		known.holders |= l.peerSetOf(from)
		entries[key] = known
	}
}

// since returns the digest of the changes after a sequence number, without those
// that the given peer has sent.
func (l *changeLog) since(seq uint64, peer contract.InstanceID) Digest {
	holder := l.peerSetOf(peer)
	last := l.lastSeqThatFits(seq, holder)
	contacts, compact := l.splitContacts(changes(l.contacts, seq, last, holder), seq)
	return Digest{
		Seq:              last,
		Contacts:         contacts,
		CompactContacts:  packContacts(compact),
		Failures:         changes(l.failures, seq, last, holder),
		Leaving:          changes(l.leaving, seq, last, holder),
		ServedModels:     changes(l.served, seq, last, holder),
		Crashes:          changes(l.crashes, seq, last, holder),
		Completions:      changes(l.completions, seq, last, holder),
		CrashRefutations: changes(l.refutations, seq, last, holder),
		SuspectRuns:      changes(l.suspectRuns, seq, last, holder),
	}
}

func changes[K comparable, T any](entries map[K]versioned[T], seq, last uint64, holder peerSet) []T {
	var changed []T
	for _, entry := range entries {
		if entry.seq > seq && entry.seq <= last && entry.holders&holder == 0 {
			changed = append(changed, entry.value)
		}
	}
	return changed
}

// retain removes the entries of upstreams that no longer exist and expired
// evidence.
func (l *changeLog) retain(entries map[contract.UpstreamID]*entry, evidence *Evidence, now time.Time) {
	unknown := func(id contract.UpstreamID) bool { return entries[id] == nil }
	removeKeys(l.contacts, unknown)
	l.retainProcesses()
	removeKeys(l.failures, unknown)
	removeKeys(l.leaving, unknown)
	removeKeys(l.served, unknown)
	removeKeys(l.crashes, func(processID ProcessID) bool { _, found := evidence.crashes[processID]; return !found })
	removeKeys(l.completions, func(content ContentKey) bool { return evidence.cleared[content].IsZero() })
	removeKeys(l.refutations, func(processID ProcessID) bool { return evidence.alive[processID].IsZero() })
	for key, entry := range l.suspectRuns {
		if now.Sub(time.UnixMilli(entry.value.AtMS)) > suspectMarkLifetime {
			delete(l.suspectRuns, key)
		}
	}
}

func removeKeys[K comparable, T any](entries map[K]versioned[T], obsolete func(K) bool) {
	for key := range entries {
		if obsolete(key) {
			delete(entries, key)
		}
	}
}
