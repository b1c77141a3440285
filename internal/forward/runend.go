package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

const (
	// maxWatchedRuns bounds the ended runs whose outcome is not known yet. The outcomes of
	// further ones are not found out.
	maxWatchedRuns = 256
	// canceledWatchTime is how long the upstream of a canceled run is watched: a request that
	// crashes upstreams does so shortly after its caller has left, if not before.
	canceledWatchTime = time.Second
	// silentCheckInterval and silentWatchTime are how often and how long a silent process is
	// looked for after it counts as lost.
	silentCheckInterval = time.Second
	silentWatchTime     = 10 * time.Second
	// domainSampleSize is how many other engines of a failure domain are polled to tell the loss
	// of one engine from that of the domain.
	domainSampleSize = 2
)

// endedRun is a run of a request at an upstream that has ended. It holds no body, since it may
// outlive its request.
type endedRun struct {
	content     poison.Content
	prompt      poison.Prompt
	maxAttempts int
	service     route.Service
	log         logrus.FieldLogger
	member      *pool.Member
	upstream    pool.Upstream // the process that was addressed
	sentAt      time.Time     // of the request
	at          time.Time
	progress    progress
	written     time.Duration // since the first event
	head        bool          // the head of the response had arrived
	resumed     bool          // an earlier run had begun the answer
	// unanswered means that the run gave its caller nothing, so its loss counts against the
	// whole request.
	unanswered bool
	cause      poison.EndCause
	reset      bool // the upstream's side of the connection ended
}

func (r *endedRun) process() string { return poison.ProcessName(r.upstream.ID, r.upstream.StartedAt) }

func (r *endedRun) crash() poison.RequestCrash {
	return poison.RequestCrash{Content: r.content, Process: r.process()}
}

// heardAt returns when the upstream last gave a sign of life, or the request was sent.
func (r *endedRun) heardAt() time.Time { return latest(r.sentAt, r.member.HeardAt()) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endCause returns why a run ended with a result. ctx is that of its request.
func endCause(ctx context.Context, x *exchange, result Result, err error) poison.EndCause {
	switch {
	case result == NotSent || result == NotRun || result == Misdirected:
		return poison.CauseRefused
	case result != Failed:
		return poison.CauseAnswered
	case !time.Now().Before(x.deadline) || errors.IsAny(err, errUnresponsive, errStalled):
		return poison.CauseSilence
	case ctx.Err() != nil || errors.Is(err, errPoisonParts):
		return poison.CauseCanceled
	}
	return poison.CauseLost
}

// recordRunEnd derives the evidence against a request from the end of one of its runs. It is called
// once for each run, whether or not the caller still waits. The evidence of a lost connection
// counts when it returns.
func (f *Forwarder) recordRunEnd(r endedRun) {
	switch r.cause {
	case poison.CauseAnswered, poison.CauseRefused:
		f.Metrics.countRunEnd(poison.RunEnd{Cause: r.cause}.Outcome())
	case poison.CauseLost:
		f.recordOutcome(r, poison.RunEnd{Cause: r.cause, Process: f.checkProcess(r)})
	case poison.CauseSilence:
		f.watch(func() { f.awaitSilent(r, r.heardAt()) })
	case poison.CauseCanceled:
		if r.unanswered {
			lost := r.member.Lost()
			f.watch(func() { f.awaitCanceled(r, lost) })
		}
	}
}

// watch runs a watch of an ended run in the background, unless there are too many.
func (f *Forwarder) watch(run func()) {
	select {
	case f.watchedRuns <- struct{}{}:
	default:
		f.Metrics.unwatchedRuns.Inc()
		return
	}
	go func() {
		defer func() { <-f.watchedRuns }()
		run()
	}()
}

// awaitSilent finds out whether a process that fell silent under a run is lost. silentSince is its
// last sign of life.
func (f *Forwarder) awaitSilent(r endedRun, silentSince time.Time) {
	time.Sleep(time.Until(silentSince.Add(poison.SilenceLimit)))
	end := poison.RunEnd{Cause: r.cause, Process: poison.ProcessAlive}
	if f.isReplaced(r) || !r.heardAt().After(silentSince) {
		end.Process = f.checkProcess(r)
	}
	end.SilentFor = time.Since(silentSince)
	f.recordOutcome(r, end)
	if end.Outcome() != poison.RunSilent {
		return
	}
	for countedAt := time.Now(); time.Since(countedAt) < silentWatchTime; {
		time.Sleep(silentCheckInterval)
		if !f.isReplaced(r) && r.heardAt().After(silentSince) {
			f.withdrawCrash(r, "the silent process is alive")
			return
		}
	}
}

// awaitCanceled finds out whether the process of a canceled run is lost soon after it. lost is
// closed when the upstream is.
func (f *Forwarder) awaitCanceled(r endedRun, lost <-chan struct{}) {
	timer := time.NewTimer(canceledWatchTime)
	defer timer.Stop()
	select {
	case <-lost:
	case <-timer.C:
		return
	}
	end := poison.RunEnd{Cause: r.cause, Process: f.checkProcess(r)}
	if end.Outcome() == poison.RunUnresolved {
		r.cause = poison.CauseSilence
		f.awaitSilent(r, r.heardAt())
		return
	}
	f.recordOutcome(r, end)
}

// isReplaced reports whether another process is known to have taken the place of the addressed one.
func (f *Forwarder) isReplaced(r endedRun) bool {
	current := r.member.Current()
	if current.ID != r.upstream.ID || current.StartedAt != r.upstream.StartedAt {
		return true
	}
	startedAt, listed := f.Pool.ListedStart(r.upstream.ID)
	return listed && startedAt != 0 && r.upstream.StartedAt != 0 && startedAt != r.upstream.StartedAt
}

// checkProcess checks whether the process that a run was sent to still exists.
func (f *Forwarder) checkProcess(r endedRun) poison.ProcessState {
	if f.isReplaced(r) {
		return poison.ProcessGone
	}
	var answered bool
	var err error
	if r.service.Engine != nil {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		var report *pool.LoadReport
		report, err = f.requestReport(ctx, r.log, r.member)
		answered = report != nil
	} else {
		answered, err = f.checkRunHealth(r)
	}
	switch {
	case answered && !f.isReplaced(r):
		return poison.ProcessAlive
	case answered || refusesConnections(err):
		return poison.ProcessGone
	}
	return poison.ProcessUnknown
}

// checkRunHealth sends a health check to the upstream of a run, which takes a slot there like a
// request.
func (f *Forwarder) checkRunHealth(r endedRun) (answered bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	r.member.ChargeRequest(time.Now())
	f.Metrics.countLimited(r.member, healthCheck)
	health, err := f.Prober.Health(ctx, r.member.Address, r.service.HealthPath)
	if err == nil && health.ID != r.upstream.ID {
		return false, errProcessGone
	}
	return err == nil, err
}

// recordOutcome records how a run ended, and the evidence if its process was lost.
func (f *Forwarder) recordOutcome(r endedRun, end poison.RunEnd) {
	outcome := end.Outcome()
	f.Metrics.countRunEnd(outcome)
	if !outcome.IsLoss() {
		return
	}
	if !f.isReplaced(r) {
		r.member.MarkLost(time.Now())
	}
	atStart := r.progress != inProgress && (r.cause != poison.CauseLost || r.reset && end.Process == poison.ProcessGone)
	if atStart && (r.cause == poison.CauseLost || !f.domainLost(r.member)) {
		f.recordEndAtStart(r)
	}
	if !r.unanswered || f.domainLost(r.member) {
		return
	}
	neighbours := f.domainNeighbours(r.member)
	if len(neighbours) == 0 {
		f.addCrash(r, outcome)
		return
	}
	add := func() {
		if f.anyAnswers(r, neighbours) {
			f.addCrash(r, outcome)
		} else {
			r.log.WithFields(logrus.Fields{"upstream": r.upstream.ID, "domain": r.member.FailureDomain}).Info("upstream lost with its failure domain")
		}
	}
	if len(f.Quarantine.Crashes(r.content))+1 < poison.CrashLimit-1 {
		f.watch(add) // it decides nothing yet, so the request need not wait for it
		return
	}
	add()
}

// domainLost reports whether the failure domain of an upstream has just lost several upstreams.
func (f *Forwarder) domainLost(m *pool.Member) bool {
	return pool.DomainDown(f.Pool.Members(m.Service), m.FailureDomain, time.Now())
}

// domainNeighbours returns other engines of a failure domain that are not known to be lost.
func (f *Forwarder) domainNeighbours(m *pool.Member) []*pool.Member {
	if table := f.Tables.Current(); table == nil || table.Service(m.Service).Engine == nil {
		return nil
	}
	return pool.PickNeighbours(f.Pool.Members(m.Service), m, domainSampleSize, time.Now())
}

// anyAnswers reports whether one of the upstreams reports its load.
func (f *Forwarder) anyAnswers(r endedRun, members []*pool.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	answers := make(chan bool, len(members))
	var polls sync.WaitGroup
	for _, m := range members {
		polls.Go(func() {
			_, err := f.requestReport(ctx, r.log, m)
			answers <- err == nil
		})
	}
	go func() {
		polls.Wait()
		close(answers)
	}()
	for answered := range answers {
		if answered {
			return true
		}
	}
	return false
}

// shareThreshold is the number of crashes from which the other instances are notified.
// A retried stream crashes further upstreams at a single instance, which counts them
// itself; an isolated crash needs no message.
const shareThreshold = 2

// addCrash adds the loss of a process to the evidence against a request and shares it.
func (f *Forwarder) addCrash(r endedRun, outcome poison.RunOutcome) {
	crash := r.crash()
	count := f.Quarantine.Add(time.Now(), crash)
	r.log.WithFields(logrus.Fields{
		"upstream": r.upstream.ID, "outcome": outcome, "crashes": count, "limit": poison.CrashLimit,
	}).Warn("upstream was lost while it ran the request")
	switch {
	case count > shareThreshold || r.maxAttempts < poison.CrashLimit:
		go f.CrashExchange.ShareCrash(crash)
	case count == shareThreshold:
		for _, earlier := range f.Quarantine.Crashes(r.content) {
			go f.CrashExchange.ShareCrash(earlier) // also the first crash, not sent before
		}
	}
}

// withdrawCrash withdraws the evidence of a run.
func (f *Forwarder) withdrawCrash(r endedRun, reason string) {
	f.Quarantine.Withdraw(r.crash())
	f.CrashExchange.WithdrawCrash(r.crash())
	r.log.WithFields(logrus.Fields{"upstream": r.upstream.ID, "reason": reason}).Info("loss of an upstream no longer counts against the request")
}
