package contract

import (
	"fmt"
	"strings"
)

// InvariantViolation is the value of the panic that a broken invariant raises.
type InvariantViolation struct {
	Message string
	State   string // key=value pairs that show why
}

// Error returns the message and the state.
func (v InvariantViolation) Error() string {
	return "invariant broken: " + v.Message + " " + v.State
}

// Invariant stops the process with the given state if cond is false. It is
// active in production: continuing would break a promise to a caller.
// The state is a list of alternating keys and values.
func Invariant(cond bool, message string, state ...any) {
	if cond {
		return
	}
	pairs := make([]string, 0, len(state)/2)
	for i := 0; i+1 < len(state); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%v=%v", state[i], state[i+1]))
	}
	panic(InvariantViolation{Message: message, State: strings.Join(pairs, " ")})
}
