package membership

import (
	"math"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// MessageHeartbeat is the type of heartbeat requests on the link.
const MessageHeartbeat link.MessageType = "heartbeat"

// Limits of a heartbeat. They bound the memory that a faulty peer can occupy.
const (
	maxMembers      = 4096 // members in a memberTable or peerTable
	maxEntries      = 256  // table entries per response
	maxTextBytes    = 128  // bytes of an identifier or address
	maxSections     = 32
	maxSectionBytes = 64 << 10 // per section
)

// ErrHeartbeatInvalid reports a heartbeat that violates the limits or has
// inconsistent fields.
var ErrHeartbeatInvalid = errors.New("heartbeat is invalid")

// status is the sender's own status.
type status struct {
	_           struct{} `cbor:",toarray"`
	State       State
	Current     bool  // the sender's contacts prove that it lacks no configuration version
	HeadVersion int64 // newest configuration version that the sender has verified
	HeldVersion int64 // configuration version in force at the sender
	Sequence    int64 // of the roster that the sender holds; 0: none
	At          timeline.Timestamp
}

// entry is an instance in a member table.
type entry struct {
	_       struct{} `cbor:",toarray"`
	ID      contract.InstanceID
	Address string
	Domain  contract.FailureDomainID
	Region  string
	// SilentSeconds is the time since the last contact or listing, or
	// silentDeparted. With it the receiver forgets the instance when the sender
	// does.
	SilentSeconds uint32
}

// silentDeparted marks an instance that has departed.
const silentDeparted = math.MaxUint32

type sectionData struct {
	_    struct{} `cbor:",toarray"`
	ID   uint8
	Data []byte
}

// indexedVersion is the configuration version, or the sequence of the roster,
// that a marked member holds.
type indexedVersion struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	Version int64
}

// heartbeat is a request. It states how much of the receiver's table the sender
// already has, so that each entry is sent once.
type heartbeat struct {
	Status      status        `cbor:"1,keyasint"`
	Self        *entry        `cbor:"2,keyasint,omitempty"` // omitted after the peer has responded
	Epoch       uint64        `cbor:"3,keyasint,omitempty"` // epoch of the receiver's table, 0 if none was received
	HaveEntries int           `cbor:"4,keyasint,omitempty"` // entries already received
	Sections    []sectionData `cbor:"5,keyasint,omitempty"`
}

// response completes the round trip. It carries the liveness vector, and the
// request does not: ages then count from the time at which the request was
// sent, so neither a pause nor one-way loss makes a contact appear more recent
// than it was.
type response struct {
	Status   status           `cbor:"1,keyasint"`
	Epoch    uint64           `cbor:"2,keyasint"`
	First    int              `cbor:"3,keyasint,omitempty"` // index of Entries[0]
	Entries  []entry          `cbor:"4,keyasint,omitempty"`
	Marks    []byte           `cbor:"5,keyasint,omitempty"` // one bit per index; set if the member has an age
	Ages     []byte           `cbor:"6,keyasint,omitempty"` // one byte per set mark
	States   []byte           `cbor:"7,keyasint,omitempty"` // two bits per set mark; empty: all are Ready
	Versions []indexedVersion `cbor:"8,keyasint,omitempty"` // marked members with another version than the sender, ascending
	// Sequences lists the marked members that held another roster than the
	// sender, with its sequence, ascending.
	Sequences []indexedVersion `cbor:"9,keyasint,omitempty"`
}

func decodeHeartbeat(body []byte) (heartbeat, error) {
	var h heartbeat
	if err := link.Decode(body, &h); err != nil {
		return h, err
	}
	return h, h.check()
}

func decodeResponse(body []byte) (response, error) {
	var resp response
	if err := link.Decode(body, &resp); err != nil {
		return resp, err
	}
	return resp, resp.check()
}

func (s status) check() error {
	if s.State > Draining || s.HeadVersion < 0 || s.HeldVersion < 0 || s.Sequence < 0 {
		return errors.Wrapf(ErrHeartbeatInvalid, "state=%d head=%d sequence=%d", s.State, s.HeadVersion, s.Sequence)
	}
	return nil
}

// check accepts an empty identifier, which stands for a removed table entry.
func (e entry) check() error {
	if len(e.ID) > maxTextBytes || len(e.Address) > maxTextBytes || len(e.Domain) > maxTextBytes || len(e.Region) > maxTextBytes {
		return errors.Wrap(ErrHeartbeatInvalid, "text of a member is too long")
	}
	return nil
}

func (h heartbeat) check() error {
	if err := h.Status.check(); err != nil {
		return err
	}
	if h.HaveEntries < 0 || h.HaveEntries > maxMembers || len(h.Sections) > maxSections {
		return errors.Wrapf(ErrHeartbeatInvalid, "have=%d sections=%d", h.HaveEntries, len(h.Sections))
	}
	for _, s := range h.Sections {
		if len(s.Data) > maxSectionBytes {
			return errors.Wrapf(ErrHeartbeatInvalid, "section=%d bytes=%d", s.ID, len(s.Data))
		}
	}
	if h.Self != nil {
		return h.Self.check()
	}
	return nil
}

func (resp response) check() error {
	if err := resp.Status.check(); err != nil {
		return err
	}
	if resp.First < 0 || len(resp.Entries) > maxEntries || resp.First+len(resp.Entries) > maxMembers {
		return errors.Wrapf(ErrHeartbeatInvalid, "first=%d names=%d", resp.First, len(resp.Entries))
	}
	if len(resp.Marks) > maxMembers/marksPerByte || len(resp.Ages) != countMarks(resp.Marks) {
		return errors.Wrapf(ErrHeartbeatInvalid, "marks=%d ages=%d", len(resp.Marks), len(resp.Ages))
	}
	if len(resp.States) > 0 && len(resp.States) != (len(resp.Ages)+statesPerByte-1)/statesPerByte {
		return errors.Wrapf(ErrHeartbeatInvalid, "ages=%d states=%d", len(resp.Ages), len(resp.States))
	}
	for _, exceptions := range [][]indexedVersion{resp.Versions, resp.Sequences} {
		if err := checkVersions(exceptions, len(resp.Ages)); err != nil {
			return err
		}
	}
	for i := range resp.Ages {
		if stateAt(resp.States, i) > Draining {
			return errors.Wrap(ErrHeartbeatInvalid, "state of a member is unknown")
		}
	}
	for _, e := range resp.Entries {
		if err := e.check(); err != nil {
			return err
		}
	}
	return nil
}

// checkVersions checks the exceptions of a vector with the given number of
// marks.
func checkVersions(exceptions []indexedVersion, marks int) error {
	if len(exceptions) > marks {
		return errors.Wrapf(ErrHeartbeatInvalid, "ages=%d held=%d", marks, len(exceptions))
	}
	for _, h := range exceptions {
		if h.Index < 0 || h.Index >= maxMembers || h.Version < 0 {
			return errors.Wrapf(ErrHeartbeatInvalid, "index=%d version=%d", h.Index, h.Version)
		}
	}
	return nil
}
