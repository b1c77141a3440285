package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/placement"
)

// Guards against less urgent prompts that preempt others when all engines are full, and against the
// refusal of prompts that have room, have begun, have returned, or are as urgent as any.
func TestOnlyNewLessUrgentPromptsAreRefused(t *testing.T) {
	g := NewWithT(t)
	full := placement.Arrival{Polled: 12, TimeLeft: 25 * time.Second, Timeout: 25 * time.Second}
	g.Expect(full.Refused()).To(BeTrue())
	for name, change := range map[string]func(*placement.Arrival){
		"an engine has room":       func(a *placement.Arrival) { a.Fits = true },
		"most urgent":              func(a *placement.Arrival) { a.MostUrgent = true },
		"begun":                    func(a *placement.Arrival) { a.Begun = true },
		"few engines were polled":  func(a *placement.Arrival) { a.Polled = 4 },
		"it has returned":          func(a *placement.Arrival) { a.TimeLeft = 22 * time.Second },
		"the route has no timeout": func(a *placement.Arrival) { a.TimeLeft, a.Timeout = -1, 0 },
	} {
		a := full
		change(&a)
		g.Expect(a.Refused()).To(BeFalse(), name)
	}
}

// Guards against callers that return as one, or later than their time allows.
func TestReturnsAreSpread(t *testing.T) {
	g := NewWithT(t)
	g.Expect(placement.ReturnAfter(0)).To(Equal(2 * time.Second))
	g.Expect(placement.ReturnAfter(0.999)).To(BeNumerically("<", 25*time.Second/3))
}
