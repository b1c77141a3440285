package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/poison"
)

// errPoisonParts ends a run whose prompt is refused since it was sent.
var errPoisonParts = errors.New("the parts of the prompt are known to crash upstreams")

// Events that countPoison counts.
const (
	poisonVerdict  = "verdict"
	poisonLifted   = "lifted"
	poisonRefusal  = "refusal"
	poisonRunEnded = "run_ended"
	poisonTrial    = "trial"
)

// unsharedParts is the PartExchange of an instance that shares nothing.
type unsharedParts struct{}

func (unsharedParts) ShareCrash(poison.Crash)        {}
func (unsharedParts) ShareSuccess([]poison.Part)     {}
func (unsharedParts) ShareVerdicts([]poison.Verdict) {}
func (unsharedParts) Refused(poison.Verdict)         {}
func (unsharedParts) ClaimTrial(poison.Verdict) bool { return false }

// addPoisonCrash adds the evidence that the process of an upstream ended at the start of an
// answer.
func (f *Forwarder) addPoisonCrash(r endedRun) {
	if len(r.prompt) == 0 {
		return
	}
	crash := poison.Crash{UpstreamID: r.process(), FailureDomain: r.member.FailureDomain, Prompts: []poison.Prompt{r.prompt}, At: r.at}
	verdicts := f.Poison.AddCrash(time.Now(), crash)
	f.PartExchange.ShareCrash(crash)
	if len(verdicts) == 0 {
		return
	}
	for _, v := range verdicts {
		f.Metrics.countPoison(poisonVerdict)
		r.log.WithField("verdict", v.ID()).WithField("parts", formatParts(v.Parts)).Warn("parts of prompts are known to crash upstreams")
	}
	f.PartExchange.ShareVerdicts(verdicts)
}

// addPoisonSuccess adds the evidence that an answer on a prompt went on.
func (f *Forwarder) addPoisonSuccess(x *exchange, at time.Time) {
	if len(x.prompt) == 0 {
		return
	}
	contradicted, lifted := f.Poison.AddSuccess(time.Now(), at, x.prompt)
	if replacements := f.Poison.Replacements(lifted); len(replacements) > 0 {
		f.PartExchange.ShareVerdicts(replacements) // before the others learn that the lifted ones do not hold
	}
	for _, v := range lifted {
		f.Metrics.countPoison(poisonLifted)
		x.log.WithField("verdict", v.ID()).WithField("parts", formatParts(v.Parts)).Warn("verdict on parts of prompts lifted by an answer on them")
	}
	if len(contradicted) > 0 {
		f.PartExchange.ShareSuccess(contradicted)
	}
}

// refusedBy returns the verdict by which the next attempt of a request is refused. A trial
// is not refused until an attempt has reached an upstream.
func (f *Forwarder) refusedBy(x *exchange) (poison.Verdict, bool) {
	if x.trial && x.state.Reached == 0 {
		return poison.Verdict{}, false
	}
	return f.Poison.Refuses(x.prompt)
}

// refusePoisonParts responds to a new request that a verdict refuses, unless it is the trial of
// that verdict.
func (f *Forwarder) refusePoisonParts(x *exchange) bool {
	verdict, refused := f.refusedBy(x)
	if !refused {
		return false
	}
	if f.PartExchange.ClaimTrial(verdict) {
		x.trial = true
		f.Metrics.countPoison(poisonTrial)
		x.log.WithField("verdict", verdict.ID()).Warn("request is the trial of a verdict on parts of prompts")
		return false
	}
	f.failRefused(x, verdict)
	return true
}

// failRefused responds to a request that a verdict refuses. The status does not invite the
// caller to repeat it, and it may have run if it was sent before the verdict.
func (f *Forwarder) failRefused(x *exchange, verdict poison.Verdict) {
	f.recordRefusal(x, verdict)
	f.fail(x, http.StatusBadGateway, errPoisonParts.Error())
}

func (f *Forwarder) recordRefusal(x *exchange, verdict poison.Verdict) {
	f.Metrics.countPoison(poisonRefusal)
	x.log.WithField("verdict", verdict.ID()).Info("request refused by a verdict on parts of prompts")
	f.PartExchange.Refused(verdict)
}

// endIfRefused ends a stream whose next attempt a verdict refuses. It returns whether the caller
// has its response.
func (s *relay) endIfRefused(ctx context.Context) bool {
	verdict, refused := s.f.refusedBy(s.x)
	switch {
	case !refused || ctx.Err() != nil:
		return false
	case s.headWritten:
		s.f.recordRefusal(s.x, verdict)
		s.endUnfinished(ctx)
	default:
		s.f.failRefused(s.x, verdict)
	}
	return true
}

// checkVerdicts returns an error if a run that has written nothing is refused meanwhile: its
// upstream crashes unless the request is taken from it in time.
func (r *run) checkVerdicts() error {
	r.verdictsChanged = r.f.Poison.Changed()
	verdict, refused := r.f.refusedBy(r.x)
	if !refused || r.answer.at(time.Now()) != notBegun {
		return nil
	}
	r.f.Metrics.countPoison(poisonRunEnded)
	r.x.log.WithField("verdict", verdict.ID()).WithField("upstream", r.member.ID).Info("run ended by a verdict on parts of prompts")
	return errPoisonParts
}

// recordWriting records an event that made progress. A run that has begun its answer is a
// suspect if its upstream ends, or a success.
func (r *run) recordWriting(now time.Time) {
	r.answer.observeEvent(now)
	if !r.succeeded && r.answer.at(now) == inProgress {
		r.succeeded = true
		r.f.addPoisonSuccess(r.x, now)
	}
}

// recordCompletion records the complete answer of a run.
func (s *relay) recordCompletion(r *run, now time.Time) {
	if !r.succeeded && r.response != nil && r.answer.at(now) != notBegun {
		s.f.addPoisonSuccess(s.x, now)
	}
}

// mayRepeat reports whether no verdict keeps a call from a further upstream. A trial gets one.
func (f *Forwarder) mayRepeat(x *exchange) bool {
	_, refused := f.Poison.Refuses(x.prompt)
	return !refused && !x.trial && !x.contentTrial
}

// recordCallSuccess records the complete answer to a call.
func (f *Forwarder) recordCallSuccess(x *exchange, r attemptResult) {
	if r.response.StatusCode == http.StatusOK && !r.partial {
		f.addPoisonSuccess(x, time.Now())
	}
}
