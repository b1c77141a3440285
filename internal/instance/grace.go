package instance

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// startMargin is how long before the end of the grace time the last request may start. It
	// covers the release of records whose call was not sent.
	startMargin = 1500 * time.Millisecond
	// answerMargin is how long before the end of the grace time requests that have no byte of
	// their response are answered. It covers a SIGTERM that is handled late.
	answerMargin = 500 * time.Millisecond
)

// grace is the time from SIGTERM until the platform kills the process.
type grace struct {
	starts    context.Context // ends when no request may start any more
	endStarts context.CancelFunc
	waits     context.Context // ends when requests without a byte of their response must be answered
	endWaits  context.CancelFunc
}

func newGrace() grace {
	var g grace
	g.starts, g.endStarts = context.WithCancel(context.Background())
	g.waits, g.endWaits = context.WithCancel(context.Background())
	return g
}

// untilWaitsEnd returns a context that also ends when requests must be answered.
func (g grace) untilWaitsEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.waits, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// run ends the phases of the grace time, which begins now, unless ended is closed before.
func (g grace) run(length time.Duration, ended <-chan struct{}, log logrus.FieldLogger) {
	end := time.Now().Add(length)
	for _, phase := range []struct {
		margin time.Duration
		reach  context.CancelFunc
		event  string
	}{
		{startMargin, g.endStarts, "grace time ends: requests that have not started are refused"},
		{answerMargin, g.endWaits, "grace time ends: requests without a response are answered"},
	} {
		timer := time.NewTimer(time.Until(end.Add(-phase.margin)))
		select {
		case <-timer.C:
			phase.reach()
			log.WithField("left_ms", time.Until(end).Milliseconds()).Warn(phase.event)
		case <-ended:
			timer.Stop()
			return
		}
	}
}
