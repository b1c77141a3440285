package enginehttp_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// pollTimeout is shorter than the time-out of a poll.
const pollTimeout = 700 * time.Millisecond

// Guards against load reports that each open a connection, and against a reused
// connection whose silence or end counts against a working engine, or hides that
// an engine is paused or gone.
func TestLoadKeepsItsConnection(t *testing.T) {
	f := newFixture(t, standin.EngineConfig{})
	listener := f.server.Listener.(*faultyListener)
	load := func() error {
		ctx, cancel := context.WithTimeout(f.ctx, pollTimeout)
		defer cancel()
		_, err := f.engine.Load(ctx)
		return err
	}
	for range 3 {
		f.g.Expect(load()).To(Succeed())
	}
	reused := listener.take()
	f.g.Expect(reused).To(HaveLen(1))

	close(reused[0].silent)
	f.g.Expect(load()).To(Succeed(), "after the reused connection went silent")
	f.g.Expect(load()).To(Succeed())
	listener.CutConnections()
	f.g.Expect(load()).To(Succeed(), "after the reused connection was closed")

	f.model.Faults().Set(standin.Fault{Pause: true})
	f.g.Expect(load()).To(MatchError(context.DeadlineExceeded))
	f.model.Faults().Set(standin.Fault{})
	f.g.Expect(load()).To(Succeed())

	f.g.Expect(listener.Close()).To(Succeed())
	listener.CutConnections()
	f.g.Expect(load()).To(MatchError(upstream.ErrUnreachable))
}
