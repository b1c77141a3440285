package instance

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/roster"
)

// Guards against an instance that admits work or accepts a patch by a confirmation
// from before a pause of the process: requests may run before the update timer.
func TestConfirmationFromBeforeAPauseDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := newLifecycle("instance-0", log, nil, nil)
		l.drainStartNanos.Store(1) // a draining instance does not report its state to the membership
		draining := StateDraining
		l.state.Store(&draining)
		headRead := time.Now()
		l.evaluate = func(now time.Time, initialized bool) configuration.Confirmation {
			other := configuration.PeerContact{ID: "instance-1", LastContact: headRead}
			held := roster.Roster{Sequence: 1, Instances: []contract.InstanceID{"instance-0", "instance-1"}}
			return configuration.Confirm(configuration.ConfirmInput{
				Now: now, Self: "instance-0", Initialized: initialized, HeadRead: headRead,
				Roster: roster.State{Roster: held, ReadFromStore: true}, OtherInstances: []configuration.PeerContact{other},
			})
		}
		l.update(time.Now())
		g.Expect(l.mayAcceptUnder(1)).To(Succeed())
		g.Expect(l.confirmed()).To(BeTrue())
		time.Sleep(5 * time.Second) // no update runs during the pause
		g.Expect(l.mayAcceptUnder(1)).NotTo(Succeed())
		g.Expect(l.confirmed()).To(BeFalse())
	})
}
