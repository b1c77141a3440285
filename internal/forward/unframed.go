package forward

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// confirmInterval is the time between two tries to identify the process that sent a
	// response without a length.
	confirmInterval = 50 * time.Millisecond
	// confirmTries is how many refused connections in a row mean that the process is gone.
	confirmTries = 3
)

var errProcessGone = errors.New("upstream's process ended with its response, which has no length")

// unframedBody is the body of a response that ends with its connection. The kernel also
// closes the connection of a process that is killed, so the body is complete only if
// confirm returns nil.
type unframedBody struct {
	io.ReadCloser
	confirm func() error
}

func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if n > 0 {
		return n, nil // the next read returns io.EOF again
	}
	if err := b.confirm(); err != nil {
		return 0, err
	}
	return 0, io.EOF
}

// confirmProcess returns nil if the process that received an attempt still serves its
// address. A process that does not answer may go on, so that of a stream is asked again until
// ctx ends. A plain answer is taken as complete unless the process is known to be gone.
func (f *Forwarder) confirmProcess(ctx context.Context, x *exchange, sentTo pool.Upstream) error {
	for refused := 0; ; {
		same, err := f.isSameProcess(ctx, x, sentTo)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err == nil && same:
			return nil
		case err == nil:
			refused = confirmTries
		case errors.Is(err, syscall.ECONNREFUSED):
			refused++
		case x.service.Engine == nil:
			return nil
		default:
			refused = 0
		}
		if refused >= confirmTries {
			x.log.WithFields(logrus.Fields{"upstream": sentTo.ID}).WithError(err).Info("response without a length is incomplete, because its upstream is gone")
			return errProcessGone
		}
		interval := confirmInterval
		if refused == 0 {
			interval = prefillProbeInterval // it is silent
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// isSameProcess asks the process at the address of an upstream who it is.
func (f *Forwarder) isSameProcess(ctx context.Context, x *exchange, sentTo pool.Upstream) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if x.service.Engine != nil && sentTo.StartedAt != 0 {
		report, err := f.Prober.Load(ctx, sentTo.Address)
		if err != nil || report.StartedAt != 0 {
			return report.StartedAt == sentTo.StartedAt, err
		}
	}
	if m, found := f.Pool.Find(sentTo.ID, sentTo.StartedAt); found && x.service.Engine == nil {
		m.ChargeRequest(time.Now())
		f.Metrics.countLimited(m, healthCheck)
	}
	health, err := f.Prober.Health(ctx, sentTo.Address, x.service.HealthPath)
	return health.ID == sentTo.ID, err
}
