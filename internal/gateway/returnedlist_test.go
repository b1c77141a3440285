package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

// returningList is a store whose list of upstreams comes back from an empty copy.
type returningList struct {
	fakePlatform
	eras *discovery.EraTracker

	era     discovery.Era // guarded by mu, as the next
	version int64
}

func (s *returningList) Read(ctx context.Context, topic discovery.Topic) (discovery.Batch, error) {
	batch, err := s.fakePlatform.Read(ctx, topic)
	s.mu.Lock()
	defer s.mu.Unlock()
	batch.Era, batch.Version = s.era, s.version
	s.eras.Observe(s.era)
	return batch, err
}

func (s *returningList) Changes(ctx context.Context, topic discovery.Topic, _ int64, wait time.Duration) (discovery.Batch, error) {
	select {
	case <-ctx.Done():
		return discovery.Batch{}, ctx.Err()
	case <-time.After(wait):
		return s.Read(ctx, topic)
	}
}

func (s *returningList) set(era discovery.Era, version int64, populated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.version, s.populated = era, version, populated
}

// Guards against an instance that takes upstreams for gone at the end of the grace period after a return of the
// store, since it has not read the list again.
func TestListIsReadAgainBeforeMissingUpstreamsAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		settings, err := ParseSettings([]byte(minimal))
		g.Expect(err).NotTo(HaveOccurred())
		settings.LeavingMS = 4000
		store := &returningList{fakePlatform: fakePlatform{upstream: "127.0.0.1:1"}, eras: discovery.NewEraTracker()}
		store.set(1, 2, true)
		logger := logrus.New()
		logger.SetOutput(t.Output())
		gateway := New(settings, Platform{Store: store, Eras: store.eras, Decoder: store, Protocol: store, Prober: store}, logger)
		ctx, cancel := context.WithCancel(t.Context())
		for _, task := range gateway.sync.tasks() {
			go task(ctx)
		}
		time.Sleep(time.Second)
		g.Expect(gateway.pool.Size()).To(Equal(1))
		store.set(2, 1, false)
		store.eras.Observe(2)
		time.AfterFunc(time.Second, func() { store.set(2, 3, true) })
		for passed := time.Duration(0); passed < 8*time.Second; passed += 10 * time.Millisecond {
			time.Sleep(10 * time.Millisecond)
			g.Expect(gateway.pool.Size()).To(Equal(1), "%v after the return", passed)
		}
		cancel()
		synctest.Wait()
	})
}
