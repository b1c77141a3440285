// Package roster keeps the set of instances over which a majority is counted.
// The set is one row of the table service.
//
// The package must never change the row in a way that lets a majority of a
// roster share no instance with a majority of the next one, and never before a
// majority holds the row as it is.
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
	// Instances is in ascending order, as Previous.
	Instances []contract.InstanceID `json:"instances"`
	// Previous is the set before a change by more than one instance. Until the
	// next roster a majority needs more than half of both sets.
	Previous []contract.InstanceID `json:"previous,omitempty"`
}

// Contains reports whether an instance is in the roster or in the previous one.
func (r Roster) Contains(id contract.InstanceID) bool {
	return contains(r.Instances, id) || contains(r.Previous, id)
}

// Size returns the number of instances in the roster or in the previous one.
func (r Roster) Size() int {
	return len(r.Instances) + len(r.Previous) - countCommon(r.Instances, r.Previous)
}

// Majority reports whether the instances are more than half of the roster, and
// of the previous one while there is one. There is no majority without a roster.
// No instance may be given twice.
func (r Roster) Majority(ids []contract.InstanceID) bool {
	if r.Sequence == 0 || !majority(r.Instances, ids) {
		return false
	}
	return len(r.Previous) == 0 || majority(r.Previous, ids)
}

func contains(set []contract.InstanceID, id contract.InstanceID) bool {
	_, found := slices.BinarySearch(set, id)
	return found
}

// countCommon returns how many of the instances are in the set.
func countCommon(set, ids []contract.InstanceID) int {
	count := 0
	for _, id := range ids {
		if contains(set, id) {
			count++
		}
	}
	return count
}

func majority(set, ids []contract.InstanceID) bool { return 2*countCommon(set, ids) > len(set) }

// next returns the roster that leads to the target. Majorities of sets that
// differ by one instance intersect. For a larger difference there is a roster in
// between that requires a majority of both sets.
func (r Roster) next(target []contract.InstanceID, version int64) Roster {
	next := Roster{Sequence: r.Sequence + 1, Version: max(r.Version, version), Instances: target}
	if len(r.Previous) == 0 && difference(r.Instances, target) > 1 {
		next.Previous = r.Instances
	}
	return next
}

// difference returns how many instances are in one of the sets only.
func difference(a, b []contract.InstanceID) int { return len(a) + len(b) - 2*countCommon(a, b) }

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
	if r.Sequence <= 0 || r.Version < 0 || len(r.Instances) == 0 {
		return Roster{}, errors.Wrapf(ErrInvalid, "sequence=%d version=%d instances=%d", r.Sequence, r.Version, len(r.Instances))
	}
	for _, set := range [][]contract.InstanceID{r.Instances, r.Previous} {
		if err := checkInstances(set); err != nil {
			return Roster{}, err
		}
	}
	return r, nil
}

func checkInstances(set []contract.InstanceID) error {
	if len(set) > maxInstances {
		return errors.Wrapf(ErrInvalid, "instances=%d", len(set))
	}
	for i, id := range set {
		if id == "" || i > 0 && id <= set[i-1] {
			return errors.Wrapf(ErrInvalid, "instance %q at position %d", id, i)
		}
	}
	return nil
}
