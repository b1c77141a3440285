package membership

import "time"

const (
	// ageStep is the unit of an age in a liveness vector.
	ageStep = 100 * time.Millisecond
	// maxAge is the largest age that is sent, in steps (25 s). An older contact
	// decides nothing, so it is left out.
	maxAge       = 250
	marksPerByte = 4
)

// encodeAge returns an age in steps, rounded up so that a contact never looks
// more recent than it was.
func encodeAge(age time.Duration) (byte, bool) {
	steps := (max(age, 0) + ageStep - 1) / ageStep
	if steps > maxAge {
		return 0, false
	}
	return byte(steps), true
}

func decodeAge(steps byte) time.Duration { return time.Duration(steps) * ageStep }

// vectorWriter builds the marks and ages of an answer.
type vectorWriter struct {
	marks []byte
	ages  []byte
}

// add sets the state and the age of the member with a table index. Indexes
// must ascend.
func (w *vectorWriter) add(index int, state State, age byte) {
	for len(w.marks) <= index/marksPerByte {
		w.marks = append(w.marks, 0)
	}
	w.marks[index/marksPerByte] |= (byte(state) + 1) << (2 * (index % marksPerByte))
	w.ages = append(w.ages, age)
}

// markAt returns the mark of a table index, 0 if it has no age.
func markAt(marks []byte, index int) byte {
	return marks[index/marksPerByte] >> (2 * (index % marksPerByte)) & 3
}

func countMarks(marks []byte) int {
	count := 0
	for i := range len(marks) * marksPerByte {
		if markAt(marks, i) != 0 {
			count++
		}
	}
	return count
}

// readVector calls visit for each member with an age.
func readVector(marks, ages []byte, visit func(index int, state State, age time.Duration)) {
	next := 0
	for i := range len(marks) * marksPerByte {
		mark := markAt(marks, i)
		if mark == 0 {
			continue
		}
		visit(i, State(mark-1), decodeAge(ages[next]))
		next++
	}
}
