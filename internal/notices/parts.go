package notices

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/forward"
	"foxtailhub.example/foxtailhub/internal/poison"
)

const (
	// partWriteTimeout bounds a write. One without a response is repeated.
	partWriteTimeout = 1500 * time.Millisecond
	// partWriteInterval is the least time between two writes of one instance.
	partWriteInterval = 200 * time.Millisecond
	// partRetryMin and partRetryMax bound the pause after a failed write.
	partRetryMin = 500 * time.Millisecond
	partRetryMax = time.Second
	// partIdleInterval is the time between two searches for rows to renew or remove.
	partIdleInterval = 5 * time.Second
	// answerSpread is the time over which instances write what others know as well, so that
	// mostly one does.
	answerSpread = 250 * time.Millisecond
	// expectedWriters is the number of such instances for which writeDelay is suited.
	expectedWriters = 1000
)

// partExchange shares the evidence on parts of prompts, and the verdicts on them, between
// instances through the store. Each instance adds all evidence to its own ledger. One call to
// the store is sent at a time.
type partExchange struct {
	store        discovery.Store
	storeFailing func() bool // whether the last read failed
	ledger       *poison.Ledger
	instance     string
	writer       string // ID of this process in rows
	log          logrus.FieldLogger
	wake         chan struct{} // there is something to write

	mu       sync.Mutex   // guards the fields below
	links    partSpreader // nil: no links
	evidence evidenceQueue
	verdicts map[string]*verdictState // by the verdict's ID
	removed  map[string]removedVerdict
	trials   map[string]*trialClaim // by the key of the row
	// ledgerChanged is closed when the ledger's verdicts differ from those in verdicts.
	ledgerChanged <-chan struct{}
	pauseUntil    time.Time // no write before this time
	retryAt       time.Time // no write that may wait before this time
	failing       bool      // the last write failed
	returns       int       // how often the store has come back from a copy
}

var _ forward.PartExchange = (*partExchange)(nil)

func newPartExchange(store discovery.Store, storeFailing func() bool, ledger *poison.Ledger, instance string, log logrus.FieldLogger) *partExchange {
	return &partExchange{
		store: store, storeFailing: storeFailing, ledger: ledger, instance: instance, writer: fmt.Sprintf("%016x", rand.Uint64()), log: log,
		wake: make(chan struct{}, 1), evidence: newEvidenceQueue(), verdicts: map[string]*verdictState{}, removed: map[string]removedVerdict{}, trials: map[string]*trialClaim{},
	}
}

// writeDelay returns a random delay of at most spread. Of many instances with something to
// write, a few have a short one, so that the others see the row before they write it.
func writeDelay(spread time.Duration) time.Duration {
	return time.Duration(float64(spread) * max(0, 1+math.Log(1-rand.Float64())/math.Log(expectedWriters)))
}

// partWrite is one call to the store.
type partWrite struct {
	key     string
	call    func(ctx context.Context, store discovery.Store) error
	ended   func(err error)
	message *partMessage // to be sent over links if the store fails; nil: none
}

// run writes to the store until ctx ends.
func (e *partExchange) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.ledger.Changed()
		write, next := e.nextWrite(time.Now())
		if write != nil {
			e.perform(ctx, write)
			continue
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-e.wake:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// nextWrite returns the write that is due, or the time of the next one.
func (e *partExchange) nextWrite(now time.Time) (write *partWrite, next time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncVerdicts(now)
	if now.Before(e.pauseUntil) {
		return nil, e.pauseUntil
	}
	next = earliest(now.Add(partIdleInterval), e.scheduleAnswers(now))
	sources := []func(time.Time) (*partWrite, time.Time){e.nextEvidence, e.nextVerdict, e.nextTrial, e.nextVerdictRemoval, e.nextTrialRemoval, e.nextRemoval}
	if now.Before(e.retryAt) {
		next = earliest(next, e.retryAt)
		sources = nil
		if e.links != nil && e.evidence.unlinked {
			sources = append(sources, e.nextEvidence) // goes over links
		}
	}
	for _, take := range sources {
		write, due := take(now)
		if write != nil {
			return write, time.Time{}
		}
		next = earliest(next, due)
	}
	return nil, next
}

// perform sends a write and sets the pause until the next one.
func (e *partExchange) perform(ctx context.Context, write *partWrite) {
	ctx, cancel := context.WithTimeout(ctx, partWriteTimeout)
	defer cancel()
	spreadEnded := e.spreadLater(write.message)
	returns := e.returnCount()
	err := write.call(ctx, e.store)
	spreadEnded(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && e.returns != returns {
		err = errStoreReturned
	}
	e.pauseUntil = time.Now().Add(partWriteInterval)
	if err != nil {
		e.retryAt = time.Now().Add(partRetryMin + time.Duration(rand.Float64()*float64(partRetryMax-partRetryMin)))
	}
	if failed := err != nil; failed != e.failing {
		e.failing = failed
		e.log.WithError(err).WithField("key", write.key).Info("writes about parts of prompts began to fail or succeed again")
	}
	write.ended(err)
}

// notify makes run look for something to write.
func (e *partExchange) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// apply applies changed rows: verdicts before the evidence that is older than they are. returned
// means that the store shows them since it has come back from a copy.
func (e *partExchange) apply(rows []discovery.Row, returned bool) {
	now := time.Now()
	var batch []evidence
	defer e.notify()
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, evidenceKeyPrefix):
			if ev, ok := e.readEvidence(now, row, returned); ok {
				batch = append(batch, ev)
			}
		case strings.HasPrefix(row.Key, verdictKeyPrefix):
			e.applyVerdict(now, row, returned)
		case strings.HasPrefix(row.Key, trialKeyPrefix):
			e.applyTrial(now, row)
		default:
			e.log.WithField("key", row.Key).Warn("unknown row about parts of prompts ignored")
		}
	}
	e.applyEvidence(now, batch)
}
