package timeline

import (
	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// MaxEvents is the largest number of events that one instance returns. It
// keeps a response below the frame limit of 1 MiB: the identifiers and the
// detail of an event are bounded to about 900 bytes.
const MaxEvents = 1000

// ErrInvalidQuery reports a query with a negative field.
var ErrInvalidQuery = errors.New("invalid timeline query")

// Query selects events. Zero fields select everything.
type Query struct {
	// Request selects the events of one request.
	Request contract.RequestID `cbor:"1,keyasint,omitempty"`
	// SinceMS and UntilMS bound the wall time, in Unix milliseconds, both inclusive.
	SinceMS int64 `cbor:"2,keyasint,omitempty"`
	UntilMS int64 `cbor:"3,keyasint,omitempty"`
	// Limit is the largest number of events; the latest are returned. Default and maximum: MaxEvents.
	Limit int `cbor:"4,keyasint,omitempty"`
}

// Matches reports whether the query selects the event.
func (q Query) Matches(e *Event) bool {
	if q.Request != (contract.RequestID{}) && q.Request != e.Request {
		return false
	}
	if q.SinceMS != 0 && e.At.WallMS < q.SinceMS {
		return false
	}
	return q.UntilMS == 0 || e.At.WallMS <= q.UntilMS
}

// normalize validates the query and applies the default and the maximum of its limit.
func (q Query) normalize() (Query, error) {
	if q.Limit < 0 || q.SinceMS < 0 || q.UntilMS < 0 {
		return q, ErrInvalidQuery
	}
	if q.Limit == 0 || q.Limit > MaxEvents {
		q.Limit = MaxEvents
	}
	return q, nil
}
