package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// State is the state of a dispatch record.
type State string

// The states of a dispatch record.
const (
	// Dispatched: the owner of the writer token may send the call or has sent it.
	Dispatched State = "dispatched"
	// Completed: the service responded and the response is recorded.
	Completed State = "completed"
	// Unknown: the call was sent and its outcome is not known.
	Unknown State = "unknown"
	// Released: the call did not run, and the owner of the token must not send it.
	Released State = "released"
)

// WriterToken identifies one submission at one instance. Only the submission
// that generated the token may send the call of a record with this token.
type WriterToken string

func newWriterToken() WriterToken { return WriterToken(uuid.NewString()) }

// Fingerprint is a hash of the contents of a call. It detects the use of one
// idempotency key for two different calls.
type Fingerprint string

// MaxRecordedBody is the largest response body stored in a record, in bytes. The
// table service is meant for small rows. Of a larger response only the status is
// recorded and Record.BodyOmitted is set. A truncated body is never stored,
// because a caller could take it for the complete response.
const MaxRecordedBody = 64 << 10

// Record is the durable state of a call that is not idempotent.
type Record struct {
	State       State              `json:"state"`
	Writer      WriterToken        `json:"writer"`
	Fingerprint Fingerprint        `json:"fingerprint"`
	Service     contract.ServiceID `json:"service"`
	CreatedAt   time.Time          `json:"created_at"`
	Status      int                `json:"status,omitempty"`
	ContentType string             `json:"content_type,omitempty"`
	Body        []byte             `json:"body,omitempty"`
	BodyOmitted bool               `json:"body_omitted,omitempty"`
}

// ErrInvalidTransition is returned for a state transition that is not allowed, or that
// is not made by the owner of the record.
var ErrInvalidTransition = errors.New("invalid state transition of dispatch record")

// Complete returns the record with the response of the service.
func (r Record) Complete(writer WriterToken, response upstream.CallResponse) (Record, error) {
	if err := r.checkOwner(writer); err != nil {
		return r, err
	}
	r.State = Completed
	r.Status = response.Status
	r.ContentType = response.ContentType
	r.Body = response.Body
	if len(response.Body) > MaxRecordedBody {
		r = r.withoutBody()
	}
	return r, nil
}

// MarkUnknown returns the record in state Unknown, for a call that was sent and whose
// outcome is not known.
func (r Record) MarkUnknown(writer WriterToken) (Record, error) {
	if err := r.checkOwner(writer); err != nil {
		return r, err
	}
	r.State = Unknown
	return r, nil
}

// Release returns the record in state Released, for a call that certainly did
// not run. The owner of the token must not send it afterwards.
func (r Record) Release(writer WriterToken) (Record, error) {
	if err := r.checkOwner(writer); err != nil {
		return r, err
	}
	r.State = Released
	return r, nil
}

// TakeOver returns a released record in state Dispatched with a new writer token.
func (r Record) TakeOver(writer WriterToken, now time.Time) (Record, error) {
	if r.State != Released || writer == r.Writer {
		return r, errors.Wrapf(ErrInvalidTransition, "take over from state %s", r.State)
	}
	r.State = Dispatched
	r.Writer = writer
	r.CreatedAt = now
	return r, nil
}

func (r Record) checkOwner(writer WriterToken) error {
	if r.State != Dispatched || r.Writer != writer {
		return errors.Wrapf(ErrInvalidTransition, "state %s, own writer %t", r.State, r.Writer == writer)
	}
	return nil
}

func (r Record) withoutBody() Record {
	r.Body = nil
	r.BodyOmitted = true
	return r
}

func (r Record) encode() []byte {
	data, err := json.Marshal(r)
	contract.Invariant(err == nil, "dispatch record cannot be encoded", "error", err)
	return data
}

func decodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode dispatch record")
	}
	return r, nil
}

// probeKey is the key of a row that never exists; see breaker.probe.
const probeKey = "probe/dispatch"

// keyPrefix is the prefix of the keys of all dispatch records.
const keyPrefix = "dispatch/"

// RecordKey returns the key of the row that holds the record of a request.
func RecordKey(id contract.RequestID) string {
	return keyPrefix + string(id.Workspace) + "/" + id.Key
}

// idempotencyKeyOf extracts the idempotency key from the key of a record.
func idempotencyKeyOf(recordKey string) (string, bool) {
	_, key, ok := strings.Cut(strings.TrimPrefix(recordKey, keyPrefix), "/")
	return key, ok
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r Request) Fingerprint {
	sum := digest(r)
	return Fingerprint(hex.EncodeToString(sum[:]))
}

// ContentKeyOf returns the content key of a request, under which the router counts
// the upstream crashes attributed to it.
func ContentKeyOf(r Request) upstream.ContentKey {
	sum := digest(r)
	return upstream.ContentKey(sum[:16])
}

// digest hashes each part after its length, so that moving bytes between parts
// changes the digest.
func digest(r Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Service), []byte(r.Method), []byte(r.Path), r.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}
