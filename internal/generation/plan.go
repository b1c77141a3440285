package generation

import (
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// plan states how a new generation starts: from scratch, from the text that the
// caller or this instance holds, or from the stream that a locator names.
type plan struct {
	pin              upstream.ModelPin
	sampling         upstream.Sampling
	base             int64 // offset of the first held token
	digester         *contract.Digester
	texts            []string // tokens from base on
	textHeld         bool     // the whole text is held, so that a new attempt can continue it
	minRestartOffset int64    // no new attempt starts before this offset
	adopt            *AdoptedStream
}

// newPlan returns the plan for a request, or the reason why its text cannot be
// continued. heldText is the text before the caller's position if heldTextOK.
func newPlan(r Request, heldText []string, heldTextOK bool) (plan, contract.Reason) {
	p := plan{pin: r.Pin, sampling: r.sampling(), digester: contract.NewDigester()}
	locator, located := locatorFor(r, r.content)
	if located {
		p.pin = locator.Pin
		p.sampling = locator.Sampling
		p.adopt = &AdoptedStream{Attempt: locator.Attempt, Stream: locator.Stream, Upstream: locator.Upstream}
	}
	switch {
	case heldTextOK:
		p.texts = heldText
		p.textHeld = true
		if located && locator.Base > r.position().Offset {
			p.adopt = nil // the stream starts after the caller's position
		}
		return p, ""
	case !located:
		return plan{}, contract.ReasonNotHeld
	case locator.Base > r.position().Offset:
		return plan{}, contract.ReasonNotHeld
	}
	digester, err := locator.digester()
	contract.Invariant(err == nil, "checked locator has no digest", "request", r.ID)
	if locator.Base == r.position().Offset && digester.PrefixDigest() != r.position().Digest {
		return plan{}, contract.ReasonPrefixMismatch
	}
	p.base = locator.Base
	p.digester = digester
	p.textHeld = locator.Base == 0
	p.minRestartOffset = r.position().Offset
	return p, ""
}

func (p plan) settings(r Request, streamName string, firstTokenTimes IntervalEstimator) MachineSettings {
	return MachineSettings{
		Request: r.ID, StreamName: streamName, Policy: r.Policy, MaxAttempts: r.MaxAttempts,
		QueueUntil: r.QueueUntil, Deadline: r.Deadline, FirstTokenTimeout: firstTokenTimes.FirstTokenTimeout(),
		NextOffset: p.base + int64(len(p.texts)), TextHeld: p.textHeld, MinRestartOffset: p.minRestartOffset,
		Adopt: p.adopt,
	}
}
