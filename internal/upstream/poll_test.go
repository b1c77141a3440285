package upstream

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// Guards against a poller that sleeps after it has become the only watcher of
// upstreams because the other watchers are gone.
func TestWakeUpdatesWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(16, "oulu-a")
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		var members atomic.Pointer[[]Member]
		members.Store(&[]Member{{"a", "1"}, {"b", "2"}, {"c", "3"}, {"d", "4"}, {"e", "5"}, {"f", "6"}})
		u := New(Config{
			Self: Member{"a", "1"}, Configuration: h, List: h, Engines: harnessDialer{h, 1}, Recorder: timeline.Discard{},
			Logger: logger, Instances: func() []Member { return *members.Load() }, Seed: 1,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			u.Run(ctx)
		}()
		unpolled := func() (ids []contract.UpstreamID) {
			for id, known := range u.current().entries {
				if known.health.OwnContact.At.IsZero() {
					ids = append(ids, id)
				}
			}
			return ids
		}
		time.Sleep(10*scanInterval + time.Millisecond)
		g.Expect(unpolled()).NotTo(BeEmpty(), "upstreams that other instances watch")
		members.Store(&[]Member{{"a", "1"}})
		u.NotifyChanged()
		time.Sleep(pollTick)
		g.Expect(unpolled()).To(BeEmpty())
		cancel()
		<-done
	})
}
