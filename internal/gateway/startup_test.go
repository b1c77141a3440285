package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/route"
)

// slowStore responds to reads after a delay, or with an error.
type slowStore struct {
	fakePlatform
	delay time.Duration
	err   error
}

func (s *slowStore) Read(ctx context.Context, topic discovery.Topic) (discovery.Batch, error) {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return discovery.Batch{}, ctx.Err()
	}
	if s.err != nil {
		return discovery.Batch{}, s.err
	}
	return s.fakePlatform.Read(ctx, topic)
}

// Guards against an instance that refuses requests right after its restart although the
// store responds, and against one that holds requests although the store does not.
func TestStartup(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		err   error
		want  time.Duration // time until requests are no longer held
	}{
		"the store responds":         {delay: 90 * time.Millisecond, want: 90 * time.Millisecond},
		"the store refuses":          {delay: 5 * time.Millisecond, err: errors.New("429"), want: 5 * time.Millisecond},
		"the store is silent":        {delay: time.Minute, want: firstReadTimeout},
		"the store is slow":          {delay: 2 * firstReadTimeout, want: firstReadTimeout},
		"the store responds at once": {delay: 0, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := &slowStore{delay: c.delay, err: c.err}
				store.populated = true
				gateway := newTestGateway(t, store)
				ctx, cancel := context.WithCancel(t.Context())
				for _, f := range gateway.sync.readers {
					go f.Run(ctx)
				}
				began := time.Now()
				<-gateway.forwarder.Startup
				synctest.Wait()
				g.Expect(time.Since(began)).To(Equal(c.want))
				served := c.err == nil && c.delay <= firstReadTimeout
				g.Expect(gateway.isReady()).To(Equal(served))
				cancel()
				time.Sleep(2 * firstReadTimeout) // let the readers end
			})
		})
	}
}

// hungStore responds to reads, but never to the first long poll for the configuration, as if
// its connection had been lost without a reset.
type hungStore struct {
	fakePlatform
	mu   sync.Mutex // guards hung
	hung bool
}

func (s *hungStore) Changes(ctx context.Context, topic discovery.Topic, after int64, wait time.Duration) (discovery.Batch, error) {
	s.mu.Lock()
	silent := topic == discovery.Configuration && !s.hung
	s.hung = s.hung || silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return discovery.Batch{}, ctx.Err()
	}
	if topic == discovery.Configuration && after < 3 {
		return discovery.Batch{Version: 3, Rows: []discovery.Row{{Key: "changed", Version: 3}}}, nil
	}
	return s.fakePlatform.Changes(ctx, topic, after, wait)
}

func (s *hungStore) Configuration(row discovery.Row) (route.Document, bool, error) {
	document, relevant, err := s.fakePlatform.Configuration(row)
	document.Version = row.Version
	return document, relevant, err
}

// Guards against a configuration change that is missed while the long poll for it hangs on a
// lost connection, although all other calls succeed.
func TestHungLongPollHidesNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &hungStore{}
		store.populated = true
		gateway := newTestGateway(t, store)
		ctx, cancel := context.WithCancel(t.Context())
		for _, f := range gateway.sync.readers {
			go f.Run(ctx)
		}
		time.Sleep(time.Duration(gateway.settings.ConfigurationMS) * time.Millisecond)
		synctest.Wait()
		g.Expect(gateway.configuration.Current().Version).To(BeEquivalentTo(3))
		cancel()
		time.Sleep(time.Second) // let the readers end
	})
}
