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
	// Dispatched: the owner of the writer token may send the call, or has sent it.
	Dispatched State = "dispatched"
	// Completed: the service answered; the answer is recorded.
	Completed State = "completed"
	// Unknown: the call was sent and no clear answer came back.
	Unknown State = "unknown"
	// Released: the call was not sent and the owner of the token never sends it.
	Released State = "released"
)

// WriterToken names one submission at one instance. Only the submission that
// drew the token may send on a record that carries it.
type WriterToken string

func newWriterToken() WriterToken { return WriterToken(uuid.NewString()) }

// Fingerprint identifies what a call asks for, so that one idempotency key
// cannot stand for two different calls.
type Fingerprint string

// MaxRecordedBody is the longest answer that is kept in a record. The table
// service holds small rows; a longer answer is recorded by its status alone and
// Record.BodyOmitted is set. A truncated body is never stored, since a caller
// could take it for the whole answer.
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

// ErrTransition reports a change of state that the record does not allow.
var ErrTransition = errors.New("dispatch record does not allow this change of state")

// Complete returns the record with the answer of the service.
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

// Lose returns the record of a call that was sent and got no clear answer.
func (r Record) Lose(writer WriterToken) (Record, error) {
	if err := r.checkOwner(writer); err != nil {
		return r, err
	}
	r.State = Unknown
	return r, nil
}

// Release returns the record of a call that was certainly not sent. The owner
// of the token must never send afterwards.
func (r Record) Release(writer WriterToken) (Record, error) {
	if err := r.checkOwner(writer); err != nil {
		return r, err
	}
	r.State = Released
	return r, nil
}

// TakeOver returns a released record under a new writer token.
func (r Record) TakeOver(writer WriterToken, now time.Time) (Record, error) {
	if r.State != Released || writer == r.Writer {
		return r, errors.Wrapf(ErrTransition, "take over from state %s", r.State)
	}
	r.State = Dispatched
	r.Writer = writer
	r.CreatedAt = now
	return r, nil
}

func (r Record) checkOwner(writer WriterToken) error {
	if r.State != Dispatched || r.Writer != writer {
		return errors.Wrapf(ErrTransition, "state %s, own writer %t", r.State, r.Writer == writer)
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

// probeKey is the key of a row that never exists; see breaker.
const probeKey = "probe/dispatch"

// keyPrefix begins the key of each dispatch record.
const keyPrefix = "dispatch/"

// RecordKey returns the key of the record of a request.
func RecordKey(id contract.RequestID) string {
	return keyPrefix + string(id.Workspace) + "/" + id.Key
}

// idempotencyKeyOf returns the idempotency key in the key of a record.
func idempotencyKeyOf(recordKey string) (string, bool) {
	_, key, ok := strings.Cut(strings.TrimPrefix(recordKey, keyPrefix), "/")
	return key, ok
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r Request) Fingerprint {
	sum := digest(r)
	return Fingerprint(hex.EncodeToString(sum[:]))
}

// ContentOf returns the content key of a request, by which the router counts
// the upstreams that it crashed.
func ContentOf(r Request) upstream.ContentKey {
	sum := digest(r)
	return upstream.ContentKey(sum[:16])
}

// digest hashes each part with its length, so that two requests whose parts
// are split differently have different digests.
func digest(r Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Service), []byte(r.Method), []byte(r.Path), r.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}
