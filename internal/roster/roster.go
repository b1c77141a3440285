// Package roster keeps the set of instances over which a majority is counted.
// The set is one row of the table service.
//
// The package must never change the row by more than one instance at a time,
// and never before a majority of the instances holds the row as it is: then any
// majority of a roster shares an instance with any majority of the next one.
package roster

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Key is the key of the roster's row in the table service.
const Key = "membership/roster"

// maxInstances bounds the memory that a faulty peer or row can occupy.
const maxInstances = 4096

// ErrInvalid reports a roster outside its bounds.
var ErrInvalid = errors.New("roster is invalid")

// Roster is the denominator of a majority. The zero value is no roster.
type Roster struct {
	// Sequence increases with every change.
	Sequence int64 `json:"sequence"`
	// Version is the accepted configuration version at the time of the change.
	// An acceptance is conditional on the roster, so a holder of this roster
	// that lacks none up to Version lacks none that was accepted under an
	// earlier roster.
	Version int64 `json:"version"`
	// Instances is in ascending order.
	Instances []contract.InstanceID `json:"instances"`
}

// Contains reports whether an instance is in the roster.
func (r Roster) Contains(id contract.InstanceID) bool {
	_, found := slices.BinarySearch(r.Instances, id)
	return found
}

// Majority reports whether count instances are more than half of the roster.
// There is none without a roster.
func (r Roster) Majority(count int) bool {
	return r.Sequence > 0 && 2*count > len(r.Instances)
}

// apply returns the roster after a change.
func (r Roster) apply(c Change, version int64) Roster {
	next := Roster{Sequence: r.Sequence + 1, Version: max(r.Version, version)}
	for _, id := range r.Instances {
		if id != c.Instance {
			next.Instances = append(next.Instances, id)
		}
	}
	if c.Add {
		next.Instances = append(next.Instances, c.Instance)
		slices.Sort(next.Instances)
	}
	return next
}

// Encode returns the form that is stored and sent.
func (r Roster) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode roster")
}

// Decode reads a roster and checks its bounds.
func Decode(data []byte) (Roster, error) {
	var r Roster
	if err := json.Unmarshal(data, &r); err != nil {
		return Roster{}, errors.Wrap(err, "decode roster")
	}
	if r.Sequence <= 0 || r.Version < 0 || len(r.Instances) == 0 || len(r.Instances) > maxInstances {
		return Roster{}, errors.Wrapf(ErrInvalid, "sequence=%d version=%d instances=%d", r.Sequence, r.Version, len(r.Instances))
	}
	for i, id := range r.Instances {
		if id == "" || i > 0 && id <= r.Instances[i-1] {
			return Roster{}, errors.Wrapf(ErrInvalid, "instance %q at position %d", id, i)
		}
	}
	return r, nil
}
