package upstream

import "github.com/cockroachdb/errors"

// incarnationError is an error from a response of a known incarnation.
type incarnationError struct {
	cause       error
	incarnation Incarnation
}

func (e *incarnationError) Error() string { return e.cause.Error() }
func (e *incarnationError) Unwrap() error { return e.cause }

// WithIncarnation returns err together with the incarnation that responded.
func WithIncarnation(err error, incarnation Incarnation) error {
	if err == nil || incarnation == "" {
		return err
	}
	return &incarnationError{cause: err, incarnation: incarnation}
}

// IncarnationOf returns the incarnation that responded with err, or "" if
// unknown. Observations should carry it: a leaving mark of a known incarnation
// ends exactly when the upstream restarts.
func IncarnationOf(err error) Incarnation {
	var with *incarnationError
	if errors.As(err, &with) {
		return with.incarnation
	}
	return ""
}
