package gateway

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/forward"
)

// rowStore is a store that holds only the keys of rows.
type rowStore struct {
	discovery.Store
	mu   sync.Mutex // guards keys
	keys map[string]bool
}

func (s *rowStore) Put(_ context.Context, _ discovery.Topic, key string, _ []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[key] = true
	return nil
}

func (s *rowStore) Remove(_ context.Context, _ discovery.Topic, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
	return nil
}

func (s *rowStore) batch() discovery.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := discovery.Batch{Rows: []discovery.Row{{Key: "of another writer"}}}
	for key := range s.keys {
		batch.Rows = append(batch.Rows, discovery.Row{Key: key})
	}
	return batch
}

// Guards against content that crashes three upstreams through each instance because the
// instances do not share crashes, and against rows that are never removed from the store.
func TestCrashesReachOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := &rowStore{keys: map[string]bool{}}
		first := newCrashExchange(store, forward.NewQuarantine(), log)
		second := newCrashExchange(store, forward.NewQuarantine(), log)
		for _, upstream := range []string{"a", "b"} {
			first.publish(forward.Crash{Content: "content", UpstreamID: upstream})
		}
		second.quarantine.Add(time.Now(), forward.Crash{Content: "content", UpstreamID: "c"})
		reader := notices{crashes: second}
		reader.apply(store.batch(), 0, nil)
		reader.apply(store.batch(), 0, nil) // the same rows again
		g.Expect(second.quarantine.Contains(time.Now(), "content")).To(BeTrue())
		g.Expect(first.quarantine.Contains(time.Now(), "content")).To(BeFalse())
		time.Sleep(forward.QuarantineDuration + time.Second)
		g.Expect(store.batch().Rows).To(HaveLen(1), "that of another writer")
		g.Expect(second.quarantine.Contains(time.Now(), "content")).To(BeFalse())
	})
}
