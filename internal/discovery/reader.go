package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// callTimeout bounds a call to the store, in addition to its long-poll wait. A
	// healthy store responds in 4 ms, a slow one in about 400 ms.
	callTimeout = 700 * time.Millisecond
	// maxResponseAge is the assumed age of a long-poll response when it arrives: its
	// state is from some moment during the call. A slow store takes about as
	// long to respond.
	maxResponseAge = 300 * time.Millisecond
	// outageThreshold is the time without a response after which the store counts as
	// lost: several consecutive calls have failed.
	outageThreshold = 2500 * time.Millisecond
	// contradictionLimit is the number of consecutive calls whose responses are of an earlier era
	// than the rows or than an earlier response, after which the later era is given up. A single
	// one may be a late response from before a return of the store.
	contradictionLimit = 3
)

// errInterrupted is the result of a long poll that StoreStateChanged or a return of the store
// interrupted. errDropped is the result of a call whose response was older than the rows.
var (
	errInterrupted = errors.New("the call was interrupted")
	errDropped     = errors.New("the response of the store is older than the rows that are held")
)

// PollSchedule defines how a topic is polled.
type PollSchedule struct {
	Wait  time.Duration // how long the store may hold a call until a row changes (long poll)
	Pause time.Duration // between calls
}

// Reader polls one topic of the store and applies the responses to a log.
type Reader struct {
	store        Store
	topic        Topic
	schedule     func() PollSchedule
	changeLog    *ChangeLog
	backoff      *Backoff
	clock        Clock
	log          logrus.FieldLogger
	waitUntilDue func(ctx context.Context, last time.Time)  // waits until the topic has to be read
	awaitPeers   func(ctx context.Context) (delivered bool) // waits while a peer may deliver a later era
	countCall    func(topic Topic, outcome string)
	eras         *EraTracker

	lastResponse   time.Time // used by Run only, as the next two
	inOutage       bool
	contradictions int                      // consecutive calls whose responses were of an earlier era than the rows
	held           atomic.Pointer[heldCall] // long poll in progress; nil: none. Also read by StoreStateChanged
}

// heldCall is a long poll in progress.
type heldCall struct {
	interrupt           context.CancelFunc
	startedWhileFailing bool // the store was failing at its start
}

// ReaderConfig holds the dependencies of a Reader.
type ReaderConfig struct {
	Store     Store
	Topic     Topic
	Schedule  func() PollSchedule // called before each call to the store
	ChangeLog *ChangeLog          // receives the responses
	Backoff   *Backoff            // shared by all readers of the instance
	Clock     Clock
	Logger    logrus.FieldLogger
	// WaitUntilDue blocks until the topic has to be read again. last is the time of the last
	// response. nil: the topic is read after the pause of the poll schedule, or when Eras has
	// a later era than the rows.
	WaitUntilDue func(ctx context.Context, last time.Time)
	// AwaitPeers blocks while a peer may deliver the rows of a later era that the store has shown, and
	// reports whether one did. Otherwise all rows are read. nil: they are read at once.
	AwaitPeers func(ctx context.Context) (delivered bool)
	// CountCall counts calls by topic and outcome; nil: calls are not counted.
	CountCall func(topic Topic, outcome string)
	// Eras observes the responses of the store.
	Eras *EraTracker
}

// Outcomes of calls to the store, as passed to CountCall.
const (
	OutcomeAnswered    = "answered"
	OutcomeUnchanged   = "unchanged" // response without changed rows
	OutcomeFailed      = "failed"
	OutcomeHistoryGone = "history_gone"
	OutcomeInterrupted = "interrupted"
	// Responses that are not applied: they are of an earlier era than the rows that are held, of
	// an older version of the same era, or have only the changes in a later era.
	OutcomeEarlierEra   = "earlier_era"
	OutcomeOlderVersion = "older_version"
	OutcomeLaterEra     = "later_era"
)

// NewReader returns a reader, which starts with Run.
func NewReader(c ReaderConfig) *Reader {
	r := &Reader{
		store: c.Store, topic: c.Topic, schedule: c.Schedule, changeLog: c.ChangeLog, backoff: c.Backoff, clock: c.Clock,
		log: c.Logger.WithField("topic", c.Topic), waitUntilDue: c.WaitUntilDue, awaitPeers: c.AwaitPeers, countCall: c.CountCall, eras: c.Eras,
	}
	if r.awaitPeers == nil {
		r.awaitPeers = func(context.Context) bool { return false }
	}
	if r.waitUntilDue == nil {
		r.waitUntilDue = func(ctx context.Context, last time.Time) {
			if !last.IsZero() {
				held, _ := r.changeLog.Revision()
				ctx, cancel := r.eras.UntilLater(ctx, held.Era)
				defer cancel()
				sleep(ctx, time.Until(last.Add(r.schedule().Pause)))
			}
		}
	}
	if r.eras == nil {
		r.eras = NewEraTracker()
	}
	if r.countCall == nil {
		r.countCall = func(Topic, string) {}
	}
	return r
}

// StoreStateChanged is called when calls of other readers begin to fail or succeed again. It
// interrupts a long poll, which is then repeated: its connection may be silent, which
// shorter calls detect earlier. On recovery, only a long poll that began while the
// store was failing is interrupted.
func (r *Reader) StoreStateChanged(failing bool) {
	if call := r.held.Load(); call != nil && (failing || call.startedWhileFailing) {
		call.interrupt()
	}
}

// Run polls the topic until the context ends.
func (r *Reader) Run(ctx context.Context) {
	r.lastResponse = time.Now()
	var last time.Time
	for {
		r.waitUntilDue(ctx, last)
		r.backoff.Wait(ctx)
		if ctx.Err() != nil {
			return
		}
		switch err := r.poll(ctx); {
		case errors.Is(err, errInterrupted):
		case err != nil:
			r.recordFailure(err)
		default:
			last = time.Now()
		}
	}
}

// poll reads the changes of the topic. It reads all rows if there are none yet, or if the store no
// longer has the changes or has returned from a copy and no peer delivers them.
func (r *Reader) poll(ctx context.Context) error {
	held, known := r.changeLog.Revision()
	full := !known
	if known && r.isBehind(held) {
		if r.awaitPeers(ctx) {
			return nil
		}
		held, _ = r.changeLog.Revision()
		full = r.isBehind(held)
	}
	reason, err := r.read(ctx, held, full)
	if !full && (errors.Is(err, ErrHistoryGone) || reason == DroppedLaterEra) {
		if err != nil {
			r.countCall(r.topic, OutcomeHistoryGone)
		}
		if r.isBehind(held) {
			r.recordSuccess() // before the wait, which is no failure of the store
			if r.awaitPeers(ctx) {
				return nil
			}
		}
		r.log.WithFields(logrus.Fields{"after": held.Version, "held_era": held.Era}).Info("the store has no changes since the held version; reading all rows")
		reason, err = r.read(ctx, held, true)
	}
	switch {
	case errors.Is(err, errInterrupted):
		r.countCall(r.topic, OutcomeInterrupted)
		return err
	case err != nil:
		r.countCall(r.topic, OutcomeFailed)
		return err
	case reason != NotDropped:
		r.recordDropped(reason, held)
		return errors.Wrapf(errDropped, "%s", reason)
	}
	r.contradictions = 0
	r.recordSuccess()
	return nil
}

// isBehind reports whether the store has shown a later era than that of the held rows.
func (r *Reader) isBehind(held Revision) bool {
	newest, _ := r.eras.Newest()
	return newest > held.Era
}

// read makes one call to the store and applies its response. It returns no reason for a response that
// was only overtaken by an update of a peer, or by a sign of a return, during the call.
func (r *Reader) read(ctx context.Context, held Revision, full bool) (DropReason, error) {
	expected := held
	newest, _ := r.eras.Newest()
	if newest > expected.Era {
		expected = Revision{Era: newest}
	}
	update, err := r.call(ctx, held, full)
	if err != nil {
		return NotDropped, err
	}
	if update.Era < newest && r.eras.Contradict(newest, update.Era) {
		r.log.WithFields(logrus.Fields{"era": update.Era, "given_up": newest, "held_era": held.Era}).Warn("the store contradicts the era that it stated before")
	}
	reason := r.apply(update)
	if reason != DroppedLaterEra && !update.Revision().Before(expected) {
		return NotDropped, nil
	}
	return reason, nil
}

// apply applies a response unless the store has shown a later era since.
func (r *Reader) apply(update Update) DropReason {
	reason := DroppedEarlierEra
	if newest, _ := r.eras.Newest(); update.Era >= newest {
		reason = r.changeLog.Apply(update)
	}
	r.countCall(r.topic, outcomeOf(update, reason))
	return reason
}

// outcomeOf returns the outcome of a call whose response was applied, or dropped for a reason.
func outcomeOf(update Update, reason DropReason) string {
	switch {
	case reason == DroppedEarlierEra:
		return OutcomeEarlierEra
	case reason == DroppedOlderVersion:
		return OutcomeOlderVersion
	case reason == DroppedLaterEra:
		return OutcomeLaterEra
	case len(update.Rows) == 0:
		return OutcomeUnchanged
	}
	return OutcomeAnswered
}

func (r *Reader) call(ctx context.Context, held Revision, full bool) (Update, error) {
	update := Update{Full: full, SinceEra: held.Era, AsOf: r.clock()}
	var err error
	if full {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		update.Batch, err = r.store.Read(ctx, r.topic)
		return update, err
	}
	wait := r.schedule().Wait
	timeoutCtx, stop := context.WithTimeout(ctx, wait+callTimeout)
	defer stop()
	callCtx, cancel := r.eras.UntilLater(timeoutCtx, held.Era)
	defer cancel()
	r.held.Store(&heldCall{interrupt: cancel, startedWhileFailing: r.backoff.Failing()})
	defer r.held.Store(nil)
	update.Batch, err = r.store.Changes(callCtx, r.topic, held.Version, wait)
	if errors.Is(callCtx.Err(), context.Canceled) && ctx.Err() == nil {
		return Update{}, errInterrupted
	}
	update.AsOf = max(update.AsOf, r.clock()-maxResponseAge)
	return update, err
}

// recordFailure starts the backoff and logs an outage after outageThreshold.
func (r *Reader) recordFailure(err error) {
	if !r.inOutage && time.Since(r.lastResponse) > outageThreshold {
		r.inOutage = true
		r.log.WithError(err).WithFields(r.stateFields()).Warn("the store is lost")
	}
	_, known := r.changeLog.Revision()
	r.backoff.Failed(!known)
}

// recordDropped counts contradictions of the store to the era of the rows.
func (r *Reader) recordDropped(reason DropReason, held Revision) {
	newest, _ := r.eras.Newest()
	if reason != DroppedEarlierEra || newest >= held.Era {
		r.contradictions = 0
		return
	}
	if r.contradictions++; r.contradictions >= contradictionLimit {
		r.contradictions = 0
		r.log.WithFields(logrus.Fields{"era": newest, "held_era": held.Era}).Warn("the store contradicts the era stated by a peer; reading all rows")
		r.changeLog.ForgetRevision()
	}
}

func (r *Reader) recordSuccess() {
	r.backoff.Succeeded()
	if r.inOutage {
		r.inOutage = false
		r.log.WithFields(r.stateFields()).Info("the store is back")
	}
	r.lastResponse = time.Now()
}

// stateFields returns what logs say about a lost or regained store.
func (r *Reader) stateFields() logrus.Fields {
	held, _ := r.changeLog.Revision()
	era, _ := r.eras.Newest()
	return logrus.Fields{
		"silent_ms": time.Since(r.lastResponse).Milliseconds(), "era": era, "held_era": held.Era, "held_version": held.Version,
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
