package contract

import (
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// WorkspaceID names a workspace of the configuration.
type WorkspaceID string

// ServiceID names a service of the configuration.
type ServiceID string

// UpstreamID names an upstream (an engine or a plain service server).
type UpstreamID string

// InstanceID names an instance of foxtailhubd.
type InstanceID string

// FailureDomainID names a failure domain.
type FailureDomainID string

// RequestID identifies a request: the caller's idempotency key within its
// workspace.
type RequestID struct {
	Workspace WorkspaceID `json:"workspace" cbor:"1,keyasint"`
	Key       string      `json:"key" cbor:"2,keyasint"`
}

// String returns the identifier as "workspace/key".
func (r RequestID) String() string { return string(r.Workspace) + "/" + r.Key }

// Errors of idempotency keys.
var (
	ErrKeyInvalid = errors.New("idempotency key must have 1 to 128 characters of A-Z a-z 0-9 . _ : -")
	ErrKeyNoTime  = errors.New("idempotency key carries no creation time: use a UUIDv7 or <unix milliseconds>-<random>")
)

var (
	keyPattern          = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
	keyTimestampPattern = regexp.MustCompile(`^([0-9]{13})-.+$`)
)

// CheckKey reports whether key is usable as an idempotency key.
func CheckKey(key string) error {
	if !keyPattern.MatchString(key) {
		return ErrKeyInvalid
	}
	return nil
}

// NewKey returns a new idempotency key that carries its creation time.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// KeyCreationTime returns the creation time that an idempotency key carries. A
// non-idempotent call requires it: a record is deleted after its retention time,
// so a call with an older key must be refused and never run again.
func KeyCreationTime(key string) (time.Time, error) {
	if m := keyTimestampPattern.FindStringSubmatch(key); m != nil {
		ms, err := strconv.ParseInt(m[1], 10, 64)
		if err != nil {
			return time.Time{}, ErrKeyNoTime
		}
		return time.UnixMilli(ms), nil
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, ErrKeyNoTime
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}
