package membership

import (
	"math/bits"
	"time"
)

const (
	// ageStep is the unit of an age in a liveness vector.
	ageStep = 100 * time.Millisecond
	// maxAge is the largest age that is sent, in steps (25 s). Older contacts are
	// left out, since no decision depends on them.
	maxAge        = 250
	marksPerByte  = 8
	statesPerByte = 4
)

// encodeAge returns an age in steps, rounded up so that a contact never appears
// more recent than it was.
func encodeAge(age time.Duration) (byte, bool) {
	steps := (max(age, 0) + ageStep - 1) / ageStep
	if steps > maxAge {
		return 0, false
	}
	return byte(steps), true
}

func decodeAge(steps byte) time.Duration { return time.Duration(steps) * ageStep }

// livenessVector is the liveness vector of a response under construction.
type livenessVector struct {
	marks     []byte
	ages      []byte
	states    []byte
	allReady  bool
	versions  []indexedVersion
	sequences []indexedVersion // of rosters
}

func newLivenessVector() *livenessVector { return &livenessVector{allReady: true} }

// add appends the state and the age of the member with a table index. Indexes
// must ascend.
func (v *livenessVector) add(index int, state State, age byte) {
	for len(v.marks) <= index/marksPerByte {
		v.marks = append(v.marks, 0)
	}
	v.marks[index/marksPerByte] |= 1 << (index % marksPerByte)
	position := len(v.ages)
	if position%statesPerByte == 0 {
		v.states = append(v.states, 0)
	}
	v.states[position/statesPerByte] |= byte(state) << (2 * (position % statesPerByte))
	v.ages = append(v.ages, age)
	v.allReady = v.allReady && state == Ready
}

// copyTo stores the vector in a response. States are omitted in the usual case
// that all are Ready.
func (v *livenessVector) copyTo(resp *response) {
	resp.Marks, resp.Ages, resp.Versions, resp.Sequences = v.marks, v.ages, v.versions, v.sequences
	if !v.allReady {
		resp.States = v.states
	}
}

func countMarks(marks []byte) int {
	count := 0
	for _, m := range marks {
		count += bits.OnesCount8(m)
	}
	return count
}

// stateAt returns the state of the age at a position.
func stateAt(states []byte, position int) State {
	if len(states) == 0 {
		return Ready
	}
	return State(states[position/statesPerByte] >> (2 * (position % statesPerByte)) & 3)
}

// vectorEntry is the part of a liveness vector about one member.
type vectorEntry struct {
	state       State
	age         time.Duration
	heldVersion int64
	sequence    int64
}

func byIndex(exceptions []indexedVersion) map[int]int64 {
	versions := make(map[int]int64, len(exceptions))
	for _, e := range exceptions {
		versions[e.Index] = e.Version
	}
	return versions
}

// readVector calls visit for each member with an age. The response must have
// passed check.
func readVector(resp response, visit func(index int, c vectorEntry)) {
	position := 0
	versions, sequences := byIndex(resp.Versions), byIndex(resp.Sequences)
	for i := range len(resp.Marks) * marksPerByte {
		if resp.Marks[i/marksPerByte]>>(i%marksPerByte)&1 == 0 {
			continue
		}
		c := vectorEntry{
			state: stateAt(resp.States, position), age: decodeAge(resp.Ages[position]),
			heldVersion: resp.Status.HeldVersion, sequence: resp.Status.Sequence,
		}
		if version, found := versions[i]; found {
			c.heldVersion = version
		}
		if sequence, found := sequences[i]; found {
			c.sequence = sequence
		}
		visit(i, c)
		position++
	}
}
