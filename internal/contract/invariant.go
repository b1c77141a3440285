package contract

import (
	"fmt"
	"strings"
)

// InvariantViolation is the panic value of a broken invariant.
type InvariantViolation struct {
	Message string
	State   string // key=value pairs that explain the violation
}

// Error returns the message and the state.
func (v InvariantViolation) Error() string {
	return "invariant broken: " + v.Message + " " + v.State
}

// Invariant panics with the given state if cond is false, which stops the
// process. It is active in production, because continuing would break a
// guarantee to a caller. The state is a list of alternating keys and values.
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
