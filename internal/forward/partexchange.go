package forward

import "foxtailhub.example/foxtailhub/internal/poison"

// PartExchange shares the evidence on parts of prompts with the other instances. Its methods
// do not block; they may be called concurrently.
type PartExchange interface {
	// ShareCrash informs the others about a crash that this instance has seen and added to
	// its own ledger.
	ShareCrash(crash poison.Crash)
	// ShareSuccess informs the others about parts with evidence against them on which an
	// answer went on here.
	ShareSuccess(parts []poison.Part)
	// ShareVerdicts informs the others about verdicts that were reached here.
	ShareVerdicts(verdicts []poison.Verdict)
	// Refused records that a request was refused by a verdict.
	Refused(verdict poison.Verdict)
	// ClaimTrial reports whether one request may be sent although the verdict refuses it, and
	// uses up that permission. A trial shows whether the verdict is wrong.
	ClaimTrial(verdict poison.Verdict) bool
}
