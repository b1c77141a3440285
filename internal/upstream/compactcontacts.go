package upstream

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// newProcessMS is how long contacts with a new process are sent in full, in
// milliseconds: receivers may be unable to apply the first contact.
const newProcessMS = 30_000

// label identifies a process in a compact contact. Contacts with two processes of
// the same label are sent in full.
type label uint32

func labelOf(id contract.UpstreamID, incarnation Incarnation) label {
	return label(xxhash.Sum64String(string(id) + "\x00" + string(incarnation)))
}

// process is a process in the change log.
type process struct {
	incarnation Incarnation
	label       label
	seq         uint64 // sequence number of its first contact here
	sinceMS     int64  // time of its first contact here
	ambiguous   bool   // another process has the same label
}

// putContact stores a contact and its process.
func (l *changeLog) putContact(contact ContactEntry, from contract.InstanceID) {
	id := contact.Upstream
	putChange(l, l.contacts, id, contact, from)
	known, found := l.processes[id]
	if found && known.incarnation == contact.Incarnation {
		return
	}
	if found && l.byLabel[known.label] == id {
		delete(l.byLabel, known.label)
	}
	next := process{
		incarnation: contact.Incarnation, label: labelOf(id, contact.Incarnation), seq: l.seq, sinceMS: contact.AtMS,
	}
	l.registerLabel(id, &next)
	l.processes[id] = next
}

// registerLabel adds a label. Instances may learn of two processes with the same
// label in different order, so the label then identifies neither.
func (l *changeLog) registerLabel(id contract.UpstreamID, added *process) {
	other, taken := l.byLabel[added.label]
	if !taken {
		l.byLabel[added.label] = id
		return
	}
	added.ambiguous = true
	if conflicting, found := l.processes[other]; found {
		conflicting.ambiguous = true
		l.processes[other] = conflicting
	}
	l.byLabel[added.label] = ""
}

// retainProcesses removes the processes without a contact.
func (l *changeLog) retainProcesses() {
	for id, known := range l.processes {
		if _, found := l.contacts[id]; found {
			continue
		}
		delete(l.processes, id)
		if l.byLabel[known.label] == id {
			delete(l.byLabel, known.label)
		}
	}
}

// splitContacts divides contacts into those sent in full and those sent in
// compact form because the receiver of changes after seq already has their
// process. Compact contacts may wait; a contact that contradicts a failure must
// not.
func (l *changeLog) splitContacts(contacts []ContactEntry, seq uint64) (full, compact []ContactEntry) {
	for _, contact := range contacts {
		known := l.processes[contact.Upstream]
		if l.contested(contact) || known.seq > seq || known.ambiguous || contact.Leaving || contact.AtMS-known.sinceMS < newProcessMS {
			full = append(full, contact)
		} else {
			compact = append(compact, contact)
		}
	}
	return full, compact
}

// packContacts returns the compact form of contacts: the time of the newest, then
// for each its label, the age relative to the previous one, and its load. It has
// a third of the size of CBOR, and these entries are nearly all of the traffic.
func packContacts(contacts []ContactEntry) []byte {
	if len(contacts) == 0 {
		return nil
	}
	slices.SortFunc(contacts, func(a, b ContactEntry) int { return int(b.AtMS - a.AtMS) })
	last := contacts[0].AtMS
	packed := binary.AppendUvarint(nil, uint64(last))
	for _, contact := range contacts {
		packed = binary.BigEndian.AppendUint32(packed, uint32(labelOf(contact.Upstream, contact.Incarnation)))
		packed = binary.AppendUvarint(packed, uint64(last-contact.AtMS))
		last = contact.AtMS
		packed = binary.AppendUvarint(packed, uint64(contact.Running))
		packed = binary.AppendUvarint(packed, uint64(contact.Queued))
	}
	return packed
}

// unpackContacts calls apply for each contact with a known process. It stops at
// the first malformed contact.
func (l *changeLog) unpackContacts(packed []byte, apply func(ContactEntry)) {
	last, packed, ok := readUvarint(packed)
	for ok && len(packed) > labelSize {
		var age, running, queued uint64
		contactLabel := label(binary.BigEndian.Uint32(packed))
		age, packed, ok = readUvarint(packed[labelSize:])
		if ok {
			running, packed, ok = readUvarint(packed)
		}
		if ok {
			queued, packed, ok = readUvarint(packed)
		}
		id, found := l.byLabel[contactLabel]
		if !ok || age > last {
			return
		}
		last -= age
		if !found || id == "" {
			continue
		}
		apply(ContactEntry{
			Upstream: id, AtMS: int64(last), Incarnation: l.processes[id].incarnation,
			Running: int(running), Queued: int(queued),
		})
	}
}

const (
	labelSize = 4
	maxNumber = 1 << 48 // larger numbers are malformed; a time in milliseconds has 41 bits
)

func readUvarint(data []byte) (number uint64, rest []byte, ok bool) {
	number, size := binary.Uvarint(data)
	if size <= 0 || number > maxNumber {
		return 0, nil, false
	}
	return number, data[size:], true
}
