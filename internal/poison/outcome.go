package poison

import (
	"strconv"
	"time"
)

// SilenceLimit is the time without a sign of life after which the process of an upstream that
// fell silent under a run counts as lost. Sound upstreams and whole failure domains are silent
// for a second or so, and all instances have to refuse the request 3 s after the third loss.
const SilenceLimit = 2 * time.Second

// EndCause is why a run of a request at an upstream ended, as seen on its connection.
type EndCause int

// Causes of the end of a run.
const (
	CauseAnswered EndCause = iota // the upstream answered, with any status
	CauseRefused                  // the upstream stated that it did not run the request
	CauseLost                     // the connection ended, or its answer was invalid
	CauseSilence                  // it was given up, or its deadline passed, without an answer
	CauseCanceled                 // by this instance: the caller left, or another attempt was faster
)

// ProcessState is what is known of the process that a run was sent to after the run ended.
type ProcessState int

// States of a process.
const (
	ProcessUnknown ProcessState = iota // it has not been heard since
	ProcessAlive
	ProcessGone // nothing serves its address, or another process does
)

// RunEnd is the end of a run.
type RunEnd struct {
	Cause     EndCause
	Process   ProcessState
	SilentFor time.Duration // time without a sign of life of the process
}

// RunOutcome is how a run ended. Each run has exactly one, and all evidence against its request
// follows from it, whether or not a caller still waits for the answer.
type RunOutcome int

// Outcomes of a run.
const (
	RunUnresolved RunOutcome = iota // it is not known yet whether the process still exists
	RunCompleted
	RunRefused
	RunFailed   // the answer was lost, the process lives
	RunCanceled // by this instance; the process lives or nothing is known of it
	RunCrashed  // the process ended
	RunSilent   // the process fell silent and has not been heard since
	// RunOutcomes is the number of outcomes.
	RunOutcomes
)

// String returns the name used in logs and metrics.
func (o RunOutcome) String() string {
	return [...]string{"unresolved", "completed", "refused", "failed", "canceled", "crashed", "silent"}[o]
}

// IsLoss reports whether the process was lost under the run, which is evidence against its
// request.
func (o RunOutcome) IsLoss() bool { return o == RunCrashed || o == RunSilent }

// Outcome returns how the run ended.
func (e RunEnd) Outcome() RunOutcome {
	switch {
	case e.Cause == CauseAnswered:
		return RunCompleted
	case e.Cause == CauseRefused:
		return RunRefused
	case e.Process == ProcessGone:
		return RunCrashed
	case e.Cause == CauseLost && e.Process == ProcessUnknown:
		return RunCrashed
	case e.Cause == CauseCanceled && (e.Process == ProcessAlive || e.SilentFor >= SilenceLimit):
		return RunCanceled
	case e.Process == ProcessAlive:
		return RunFailed
	case e.SilentFor >= SilenceLimit:
		return RunSilent
	}
	return RunUnresolved
}

// ProcessName identifies a process of an upstream. An upstream may start again under its ID, so the
// start time, in Unix milliseconds, is part of the name if it is known.
func ProcessName(upstreamID string, startedAt int64) string {
	if startedAt == 0 {
		return upstreamID
	}
	return upstreamID + "@" + strconv.FormatInt(startedAt, 10)
}
