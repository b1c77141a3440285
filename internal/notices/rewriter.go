package notices

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	rewriteTimeout = 2 * time.Second
	// rewriteRetryPause is the mean pause after a failed write.
	rewriteRetryPause = time.Second
	// rewriteRetryTime is how long failed writes are repeated.
	rewriteRetryTime = time.Minute
	// removedRetention is how long a removed row is remembered. Copies of the store are
	// seconds old.
	removedRetention = 10 * time.Minute
)

// rewriter writes or removes rows of notices later, one at a time.
type rewriter struct {
	log  logrus.FieldLogger
	slot chan struct{}
}

func newRewriter(log logrus.FieldLogger) *rewriter {
	return &rewriter{log: log, slot: make(chan struct{}, 1)}
}

// errNotNeeded means that a row is as it should be.
var errNotNeeded = errors.New("the row need not be written")

// schedule writes a row after a delay, and again after failures for rewriteRetryTime. write
// returns errNotNeeded if the row is up to date by then.
func (r *rewriter) schedule(key string, delay time.Duration, write func(ctx context.Context) error) {
	r.scheduleUntil(key, time.Now().Add(delay+rewriteRetryTime), delay, write)
}

func (r *rewriter) scheduleUntil(key string, end time.Time, delay time.Duration, write func(ctx context.Context) error) {
	time.AfterFunc(delay, func() {
		r.slot <- struct{}{}
		defer func() { <-r.slot }()
		ctx, cancel := context.WithTimeout(context.Background(), rewriteTimeout)
		defer cancel()
		log := r.log.WithField("key", key)
		switch err := write(ctx); {
		case errors.Is(err, errNotNeeded):
		case err == nil:
			log.Info("notice in the store is up to date again")
		case time.Now().Before(end):
			r.scheduleUntil(key, end, time.Duration(2*rand.Float64()*float64(rewriteRetryPause)), write)
		default:
			log.WithError(err).Warn("notice in the store could not be brought up to date")
		}
	})
}
