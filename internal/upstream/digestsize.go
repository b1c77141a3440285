package upstream

import (
	"cmp"
	"slices"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// maxDigestBytes bounds the estimated size of a digest. The remaining entries
// follow in the next one: membership drops a section of more than 64 KiB.
const maxDigestBytes = 40 << 10

// Estimated sizes of encoded entries in bytes.
const (
	defaultEntrySize   = 80
	modelSize          = 64
	contentSize        = 17
	compactContactSize = 10
)

// peerSet is a set of peers, one bit each. Instances have at most 8 peers at a
// time; after 64 different ones the sets are cleared, which only causes entries
// to be sent again.
type peerSet uint64

const maxPeersInSet = 64

// peerSetOf returns the set of one peer, the empty set for "".
func (l *changeLog) peerSetOf(peer contract.InstanceID) peerSet {
	if peer == "" {
		return 0
	}
	if set, found := l.peers[peer]; found {
		return set
	}
	if len(l.peers) == maxPeersInSet {
		l.clearHolders()
	}
	set := peerSet(1) << len(l.peers)
	l.peers[peer] = set
	return set
}

func (l *changeLog) clearHolders() {
	clear(l.peers)
	clearHolders(l.contacts)
	clearHolders(l.failures)
	clearHolders(l.leaving)
	clearHolders(l.served)
	clearHolders(l.crashes)
	clearHolders(l.completions)
	clearHolders(l.refutations)
	clearHolders(l.suspectRuns)
}

func clearHolders[K comparable, T any](entries map[K]versioned[T]) {
	for key, entry := range entries {
		entry.holders = 0
		entries[key] = entry
	}
}

// sizedChange is the sequence number and estimated size of a change.
type sizedChange struct {
	seq  uint64
	size int
}

// lastSeqThatFits returns the sequence number up to which the changes after seq
// fit into one digest. It is larger than seq if there is a change.
func (l *changeLog) lastSeqThatFits(seq uint64, holder peerSet) uint64 {
	all := sizedChanges(nil, l.contacts, seq, holder, func(c ContactEntry) int {
		if l.processes[c.Upstream].seq <= seq {
			return compactContactSize - defaultEntrySize
		}
		return 0
	})
	all = sizedChanges(all, l.failures, seq, holder, nil)
	all = sizedChanges(all, l.leaving, seq, holder, nil)
	all = sizedChanges(all, l.served, seq, holder, func(s ServedModelsEntry) int { return modelSize * len(s.Models) })
	all = sizedChanges(all, l.crashes, seq, holder, func(d CrashEntry) int { return contentSize * len(d.Contents) })
	all = sizedChanges(all, l.completions, seq, holder, nil)
	all = sizedChanges(all, l.refutations, seq, holder, nil)
	all = sizedChanges(all, l.suspectRuns, seq, holder, nil)
	total := 0
	for _, change := range all {
		total += change.size
	}
	if total <= maxDigestBytes {
		return l.seq
	}
	slices.SortFunc(all, func(a, b sizedChange) int { return cmp.Compare(a.seq, b.seq) })
	last, total := all[0].seq, all[0].size
	for _, change := range all[1:] {
		if total += change.size; total > maxDigestBytes {
			break
		}
		last = change.seq
	}
	return last
}

func sizedChanges[K comparable, T any](all []sizedChange, entries map[K]versioned[T], seq uint64, holder peerSet, extra func(T) int) []sizedChange {
	for _, entry := range entries {
		if entry.seq <= seq || entry.holders&holder != 0 {
			continue
		}
		size := defaultEntrySize
		if extra != nil {
			size += extra(entry.value)
		}
		all = append(all, sizedChange{seq: entry.seq, size: size})
	}
	return all
}
