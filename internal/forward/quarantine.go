package forward

import (
	"context"
	"net/http"
	"time"

	"foxtailhub.example/foxtailhub/internal/poison"
)

// CrashExchange shares the evidence against requests that crash upstreams with the other
// instances. Its methods may be called concurrently.
type CrashExchange interface {
	// ShareCrash informs the others about a crash that this instance has seen. It returns no
	// error, since the evidence counts also at this instance alone.
	ShareCrash(crash poison.RequestCrash)
	// WithdrawCrash withdraws a crash that is no evidence. It does not block.
	WithdrawCrash(crash poison.RequestCrash)
	// ClaimTrial reports whether one attempt of a quarantined request may be sent here. Of all
	// instances one gets each trial.
	ClaimTrial(ctx context.Context, content poison.Content, trial int) bool
}

// unsharedCrashes is the CrashExchange of an instance that shares nothing.
type unsharedCrashes struct{}

func (unsharedCrashes) ShareCrash(poison.RequestCrash)                       {}
func (unsharedCrashes) WithdrawCrash(poison.RequestCrash)                    {}
func (unsharedCrashes) ClaimTrial(context.Context, poison.Content, int) bool { return false }

// refuseQuarantined responds to a request that has crashed too many upstreams, unless it is the
// trial of that.
func (f *Forwarder) refuseQuarantined(ctx context.Context, x *exchange) bool {
	admission := f.Quarantine.Admit(time.Now(), x.content)
	if !admission.Refused {
		return false
	}
	if admission.TrialDue && x.state.Reached == 0 && f.CrashExchange.ClaimTrial(ctx, x.content, admission.Trial) {
		x.contentTrial = true
		x.log.WithField("trial", admission.Trial).Warn("request is a trial of its quarantine")
		return false
	}
	f.fail(x, http.StatusBadGateway, "the request has crashed each upstream that ran it")
	return true
}

// clearQuarantine removes the evidence against a request that an upstream has answered.
func (f *Forwarder) clearQuarantine(x *exchange) {
	for _, crash := range f.Quarantine.Clear(x.content) {
		f.CrashExchange.WithdrawCrash(crash)
	}
}
