package instance

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
)

// Guards against an instance that was paused and admits work, or accepts a
// patch, by a confirmation from before the pause. Its timers run only later.
func TestConfirmationFromBeforeAPauseDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := newLife(log, nil, nil)
		l.drainStart.Store(1) // a draining instance tells no membership of its state
		draining := StateDraining
		l.state.Store(&draining)
		headRead := time.Now()
		l.assess = func(now time.Time, initialized bool) configuration.Confirmation {
			other := configuration.KnownInstance{ID: "instance-1", Permanent: true, Heard: headRead}
			return configuration.Confirm(configuration.ConfirmInput{
				Now: now, Initialized: initialized, HeadRead: headRead, Others: []configuration.KnownInstance{other},
			})
		}
		l.update(time.Now())
		may, _ := l.mayAccept()
		g.Expect(may).To(BeTrue())
		g.Expect(l.confirmed()).To(BeTrue())
		time.Sleep(5 * time.Second) // no update meanwhile
		may, _ = l.mayAccept()
		g.Expect(may).To(BeFalse())
		g.Expect(l.confirmed()).To(BeFalse())
	})
}
