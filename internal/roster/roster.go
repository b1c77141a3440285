// Package roster maintains the set of instances over which a majority is
// counted. The set is one row of the table service.
//
// Majorities of a roster and of the next one must always share an instance. The
// package must never change the row before a majority holds the current one.
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

// Roster is the set of voting members over which a majority is counted. The zero
// value is no roster.
type Roster struct {
	// Sequence increases with every change.
	Sequence int64 `json:"sequence"`
	// ConfigurationVersion is the accepted configuration version at the time of the change.
	// A version is accepted only if the roster is unchanged, so an instance that
	// holds this roster and ConfigurationVersion or a newer version has missed no version
	// accepted under an earlier roster.
	ConfigurationVersion int64 `json:"version"`
	// Instances is in ascending order, like Previous.
	Instances []contract.InstanceID `json:"instances"`
	// Previous is the set before a change by more than one instance (joint
	// consensus). Until the next roster a majority needs more than half of both.
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
// ids must not contain duplicates.
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

// next returns the next roster on the way to the target. Majorities of sets that
// differ by one instance intersect. A larger difference needs an intermediate
// roster, which requires a majority of both sets.
func (r Roster) next(target []contract.InstanceID, version int64) Roster {
	next := Roster{Sequence: r.Sequence + 1, ConfigurationVersion: max(r.ConfigurationVersion, version), Instances: target}
	if len(r.Previous) == 0 && difference(r.Instances, target) > 1 {
		next.Previous = r.Instances
	}
	return next
}

// difference returns how many instances are in exactly one of the sets.
func difference(a, b []contract.InstanceID) int { return len(a) + len(b) - 2*countCommon(a, b) }

// Encode returns the JSON text that is stored and sent to peers.
func (r Roster) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode roster")
}

// Decode decodes a roster and checks its bounds.
func Decode(data []byte) (Roster, error) {
	var r Roster
	if err := json.Unmarshal(data, &r); err != nil {
		return Roster{}, errors.Wrap(err, "decode roster")
	}
	if r.Sequence <= 0 || r.ConfigurationVersion < 0 || len(r.Instances) == 0 {
		return Roster{}, errors.Wrapf(ErrInvalid, "sequence=%d version=%d instances=%d", r.Sequence, r.ConfigurationVersion, len(r.Instances))
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
