package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// Status is the outcome of submitting a patch.
type Status string

// The statuses, with the values of the HTTP API.
const (
	StatusAccepted    Status = "accepted"
	StatusConflict    Status = "conflict"    // the base is not the current version; Result.Version is
	StatusInvalid     Status = "invalid"     // the patch can never be accepted
	StatusUnavailable Status = "unavailable" // this submission had no effect
	StatusUnknown     Status = "unknown"     // the patch may have been accepted; send it again
	StatusValid       Status = "valid"       // dry run: the patch would be accepted
)

// Result is the result of a submission.
type Result struct {
	Status     Status
	Version    Version // accepted: the new version; conflict: the current one; else the base
	Message    string
	RetryAfter time.Duration // 0 if a retry does not help
	Document   *Document     // accepted or valid: the new document, without defaults; may be nil for a resubmitted patch
}

// Defaults of AcceptorConfig.
const (
	DefaultSubmitTimeout = 8 * time.Second
	DefaultRetryAfter    = 1 * time.Second
	commitRounds         = 4 // read-and-commit rounds of one submission
)

// AcceptorConfig configures an Acceptor.
type AcceptorConfig struct {
	Store  *Store
	Holder *Holder
	// CheckMajority reads the roster from the store and returns a condition that
	// holds until it changes. It returns an error unless this instance is in
	// contact with a majority of the roster; see Confirm. Required.
	CheckMajority func(ctx context.Context) (rosterUnchanged platform.Condition, err error)
	// Publish distributes an accepted version and returns when a majority of the
	// roster holds it. Otherwise an operator could receive "accepted" while a
	// majority that cannot reach the store never receives the version. Required.
	Publish func(ctx context.Context, snapshot *Snapshot) error
	// SubmitTimeout bounds one submission. Default 8 s.
	SubmitTimeout time.Duration
	Recorder      timeline.Recorder // default: discards
	Log           logrus.FieldLogger
}

// Acceptor accepts patches through the table service.
type Acceptor struct {
	cfg AcceptorConfig
}

// NewAcceptor returns an Acceptor.
func NewAcceptor(cfg AcceptorConfig) *Acceptor {
	setDefault(&cfg.SubmitTimeout, DefaultSubmitTimeout)
	if cfg.Recorder == nil {
		cfg.Recorder = timeline.Discard{}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &Acceptor{cfg: cfg}
}

// Submit submits a patch. The same patch may be submitted any number of times,
// at any instance; it is accepted at most once.
func (a *Acceptor) Submit(ctx context.Context, patch Patch) Result {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.SubmitTimeout)
	defer cancel()
	if err := patch.Check(); err != nil {
		return invalidResult(patch, err)
	}
	fingerprint, err := patch.fingerprint()
	if err != nil {
		return invalidResult(patch, err)
	}
	s := &submission{acceptor: a, patch: patch, fingerprint: fingerprint}
	if patch.DryRun {
		return s.dryRun(ctx)
	}
	result := s.run(ctx)
	a.cfg.Log.WithFields(logrus.Fields{"patch": patch.ID, "base": patch.Base, "status": result.Status,
		"version": result.Version}).Info("configuration patch submitted")
	return result
}

func invalidResult(patch Patch, err error) Result {
	return Result{Status: StatusInvalid, Version: patch.Base, Message: err.Error()}
}

// submission is one call of Submit.
type submission struct {
	acceptor            *Acceptor
	patch               Patch
	fingerprint         string
	uncertain           bool // a commit of this submission may still take effect
	majorityCheckFailed bool // the majority check failed in an earlier round
}

func (s *submission) run(ctx context.Context) Result {
	for range commitRounds {
		result, done := s.round(ctx)
		if done {
			return result
		}
	}
	return s.incompleteResult(errors.New("the head kept changing"))
}

// round reads the head, then the patch's row, then commits. In this order a
// head beyond the base and a missing row prove that the patch was not accepted
// and cannot be accepted later: its condition on the head's revision cannot
// hold again. For the same reason a new round after an uncertain commit is
// safe: at most one of the two commits finds the head's revision unchanged.
func (s *submission) round(ctx context.Context) (Result, bool) {
	store := s.acceptor.cfg.Store
	held := s.acceptor.cfg.Holder.Current().Version // before the read, as in Follower.poll
	head, revision, err := store.head(ctx)
	if err != nil {
		return s.incompleteResult(err), true
	}
	if head.Version < held {
		err := errors.Newf("the table service has lost configuration versions: its head is %d, version %d is in force", head.Version, held)
		return s.incompleteResult(err), true
	}
	record, err := store.patch(ctx, s.patch.ID)
	if err != nil {
		return s.incompleteResult(err), true
	}
	if record != nil {
		return s.completeRecorded(ctx, *record), true
	}
	if head.Version != s.patch.Base {
		return conflictResult(head.Version), true
	}
	next, result, ok := s.prepare(ctx)
	if !ok {
		return result, true
	}
	rosterUnchanged, err := s.acceptor.cfg.CheckMajority(ctx)
	if err != nil {
		// An instance that lacks a version accepted meanwhile has no majority. The
		// next round reads that version and returns conflict.
		retry := !s.majorityCheckFailed
		s.majorityCheckFailed = true
		return s.incompleteResult(errors.Wrap(err, "this instance may not accept patches now")), !retry
	}
	return s.commit(ctx, revision, rosterUnchanged, next)
}

// prepare builds the next version. It runs before the majority check, so that
// every instance reports a patch that can never be accepted as invalid.
func (s *submission) prepare(ctx context.Context) (*Snapshot, Result, bool) {
	base, err := s.readBase(ctx)
	if err != nil {
		return nil, s.incompleteResult(err), false
	}
	document, err := ApplyPatch(base.Document, s.patch.Body)
	if err != nil {
		return nil, invalidResult(s.patch, err), false
	}
	next := &Snapshot{Version: s.patch.Base + 1, PatchID: s.patch.ID, AcceptedAt: time.Now().UTC(), Document: document}
	return next, Result{}, true
}

// readBase reads the base from the store, not from the holder: a document
// received from a peer must not become the base of a stored version.
func (s *submission) readBase(ctx context.Context) (*Snapshot, error) {
	return s.acceptor.cfg.Store.Version(ctx, s.patch.Base)
}

func (s *submission) commit(ctx context.Context, revision int64, rosterUnchanged platform.Condition, next *Snapshot) (Result, bool) {
	record := patchRecord{Version: next.Version, Base: s.patch.Base, Fingerprint: s.fingerprint}
	applied, err := s.acceptor.cfg.Store.commit(ctx, revision, rosterUnchanged, next, record)
	switch {
	case err == nil && applied:
		return s.publish(ctx, next), true
	case err == nil, errors.Is(err, platform.ErrUncertain) && ctx.Err() == nil:
		s.uncertain = s.uncertain || err != nil
		return Result{}, false
	case errors.Is(err, platform.ErrUnavailable):
		return s.incompleteResult(err), true
	default:
		s.uncertain = true
		return s.incompleteResult(err), true
	}
}

// completeRecorded publishes the version of a patch whose row exists.
func (s *submission) completeRecorded(ctx context.Context, record patchRecord) Result {
	if record.Fingerprint != "" && record.Fingerprint != s.fingerprint {
		return Result{Status: StatusInvalid, Version: record.Version,
			Message: "patch_id: was used for another patch or base version"}
	}
	snapshot, err := s.acceptor.cfg.Store.Version(ctx, record.Version)
	if err != nil {
		return s.unknownResult(record.Version, err)
	}
	return s.publish(ctx, snapshot)
}

// publish puts the version in force at this instance and returns accepted only
// when a majority holds it.
func (s *submission) publish(ctx context.Context, snapshot *Snapshot) Result {
	cfg := s.acceptor.cfg
	if cfg.Holder.Advance(snapshot) {
		cfg.Recorder.Record(timeline.Event{Kind: timeline.ConfigAccepted, Detail: versionDetail(snapshot)})
	}
	if err := cfg.Publish(ctx, snapshot); err != nil {
		return s.unknownResult(snapshot.Version, errors.Wrap(err, "recorded, but not yet held by a majority of the instances"))
	}
	return Result{Status: StatusAccepted, Version: snapshot.Version, Document: &snapshot.Document}
}

// incompleteResult returns the result of a submission that this instance cannot
// complete.
func (s *submission) incompleteResult(err error) Result {
	if s.uncertain {
		return s.unknownResult(s.patch.Base, err)
	}
	return Result{Status: StatusUnavailable, Version: s.patch.Base, Message: err.Error(), RetryAfter: DefaultRetryAfter}
}

func (s *submission) unknownResult(version Version, err error) Result {
	return Result{Status: StatusUnknown, Version: version, Message: err.Error(), RetryAfter: DefaultRetryAfter}
}

func conflictResult(current Version) Result {
	return Result{Status: StatusConflict, Version: current, Message: "the base version is not the current version"}
}

func (s *submission) dryRun(ctx context.Context) Result {
	head, err := s.acceptor.cfg.Store.Head(ctx)
	if err != nil {
		return s.incompleteResult(err)
	}
	if head.Version != s.patch.Base {
		return conflictResult(head.Version)
	}
	base, err := s.readBase(ctx)
	if err != nil {
		return s.incompleteResult(err)
	}
	document, err := ApplyPatch(base.Document, s.patch.Body)
	if err != nil {
		return invalidResult(s.patch, err)
	}
	return Result{Status: StatusValid, Version: s.patch.Base, Document: &document}
}
