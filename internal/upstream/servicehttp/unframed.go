package servicehttp

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// confirmTimeout bounds the requests that confirm a response without a length.
	confirmTimeout = time.Second
	// confirmInterval is the time between two of them, and confirmTries how many lost
	// connections in a row leave the response unconfirmed: the listener of a process
	// that ends may be closed after its connections.
	confirmInterval = 50 * time.Millisecond
	confirmTries    = 3
)

// confirmServer returns nil if the server that sent a response without a length still runs.
// The kernel also closes the connections of a process that crashed, so the response of one
// that is gone may be incomplete. A server that does not respond in time, or has no load
// interface, is taken as running.
func (c *client) confirmServer(ctx context.Context, incarnation upstream.Incarnation) error {
	confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	report, err := c.Load(confirmCtx)
	for try := 1; try < confirmTries && errors.Is(err, upstream.ErrConnectionLost); try++ {
		timer := time.NewTimer(confirmInterval)
		select {
		case <-timer.C:
			report, err = c.Load(confirmCtx)
		case <-confirmCtx.Done():
			timer.Stop()
			err = confirmCtx.Err()
		}
	}
	switch {
	case ctx.Err() != nil:
		return errors.Wrap(ctx.Err(), "response without a length is not confirmed")
	case confirmCtx.Err() != nil:
		return nil
	case errors.IsAny(err, upstream.ErrUnreachable, upstream.ErrConnectionLost):
		// Not ErrUnreachable, which says that the call was not sent.
		return errors.Wrapf(upstream.ErrConnectionLost, "server of a response without a length is gone: %v", err)
	case err == nil && incarnation != "" && report.Incarnation != "" && report.Incarnation != incarnation:
		return errors.Wrapf(upstream.ErrConnectionLost, "server of a response without a length has restarted as %q", report.Incarnation)
	}
	return nil
}
