package instance

import (
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
)

// Guards against outcome not_run for a generation of which the caller has a part.
func TestRefusedResumeIsInterrupted(t *testing.T) {
	g := NewWithT(t)
	refused := contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonOverloaded}
	held := &generation.ResumeState{Position: contract.Position{Offset: 3}}
	g.Expect(resumedVerdict(held, refused).Outcome).To(Equal(contract.Interrupted))
	g.Expect(resumedVerdict(&generation.ResumeState{}, refused)).To(Equal(refused))
	g.Expect(resumedVerdict(nil, refused)).To(Equal(refused))
}
