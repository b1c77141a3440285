package generation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Guards against a generation that waits for an engine until its instance is killed, or starts just before that, and against
// outcome not_run for one that an engine may run.
func TestWaitingGenerationEndsWhenStartsEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	begin, placed := Input{Kind: InputBegin}, Input{Kind: InputPlaced, Attempt: 1, Upstream: "e1"}
	noPlacement, ended := Input{Kind: InputNoPlacement, Attempt: 1}, Input{Kind: InputStartsEnded}
	opened, refused := Input{Kind: InputOpened, Attempt: 1, Connection: 1}, Input{Kind: InputRefused, Attempt: 1, Connection: 1}
	for name, test := range map[string]struct {
		inputs []Input
		notRun bool
	}{
		"waits for a placement":       {[]Input{begin, noPlacement, ended}, true},
		"no placement after the end":  {[]Input{begin, ended, noPlacement}, true},
		"refused after the end":       {[]Input{begin, placed, ended, refused}, true},
		"sent, not accepted yet":      {[]Input{begin, placed, ended}, false},
		"runs":                        {[]Input{begin, placed, opened, ended}, false},
		"runs, connection lost later": {[]Input{begin, placed, opened, ended, {Kind: InputLost, Attempt: 1, Connection: 1}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := NewMachine(MachineSettings{
				StreamName: "s", MaxAttempts: 3, TextHeld: true, QueueUntil: now.Add(10 * time.Second), Deadline: now.Add(time.Minute),
				FirstTokenTimeout: time.Second,
			})
			var finish []Action
			for _, in := range test.inputs {
				actions, wake := m.Step(now, in)
				now = now.Add(time.Millisecond)
				if !wake.IsZero() && in.Kind == InputRefused { // the retry
					actions, _ = m.Step(wake, Input{Kind: InputTick})
				}
				for _, action := range actions {
					if action.Kind == ActionFinish {
						finish = append(finish, action)
					}
				}
			}
			if !test.notRun {
				g.Expect(finish).To(BeEmpty())
				return
			}
			g.Expect(finish).To(HaveLen(1))
			g.Expect(finish[0].Verdict).To(Equal(contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonLeaving, RetryAfter: leavingRetryAfter}))
		})
	}
}
