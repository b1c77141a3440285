package notices

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
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
		first := newCrashExchange(store, poison.NewQuarantine(nil), log)
		second := newCrashExchange(store, poison.NewQuarantine(nil), log)
		for _, process := range []string{"a", "b"} {
			first.ShareCrash(poison.RequestCrash{Content: "content", Process: process})
		}
		second.quarantine.Add(time.Now(), poison.RequestCrash{Content: "content", Process: "c"})
		reader := &Exchange{crashes: second}
		reader.apply(store.batch(), 0, nil)
		reader.apply(store.batch(), 0, nil) // the same rows again
		g.Expect(second.quarantine.Contains(time.Now(), "content")).To(BeTrue())
		g.Expect(first.quarantine.Contains(time.Now(), "content")).To(BeFalse())
		time.Sleep(poison.QuarantineDuration + time.Second)
		g.Expect(store.batch().Rows).To(HaveLen(1), "that of another writer, since the first instance knows no quarantine")
		for _, process := range []string{"a", "b"} {
			reader.apply(discovery.Batch{Rows: []discovery.Row{{Key: "content/" + process, Deleted: true}}}, 0, nil)
		}
		g.Expect(second.quarantine.Contains(time.Now(), "content")).To(BeFalse())
	})
}

// Guards against a request that crashes upstreams again each minute, because its quarantine ends
// although it still comes, or at an instance that has started since.
func TestQuarantineLastsWhileTheRequestComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newCopiedNotices(t)
		fleet := store.startNoticesFleet(6)
		for n := range poison.CrashLimit {
			fleet[n].crashes.quarantine.Add(time.Now(), poison.RequestCrash{Content: "content", Process: fmt.Sprint("u@", n+1)})
			fleet[n].crashes.ShareCrash(poison.RequestCrash{Content: "content", Process: fmt.Sprint("u@", n+1)})
		}
		time.Sleep(time.Second)
		sent, trials := 0, 0
		ask := func(i *noticesInstance) {
			admission := i.crashes.quarantine.Admit(time.Now(), "content")
			switch {
			case !admission.Refused:
				sent++
			case admission.TrialDue && i.crashes.ClaimTrial(t.Context(), "content", admission.Trial):
				trials++
			}
		}
		for n := range 40 * 60 {
			time.Sleep(time.Second)
			ask(fleet[n%len(fleet)])
			ask(fleet[(n+1)%len(fleet)])
		}
		g.Expect(sent).To(BeZero())
		g.Expect(trials).To(Equal(2), "over all instances")
		started := store.startAndRead()
		ask(started)
		g.Expect(sent).To(BeZero(), "an instance that starts reads the evidence")
		for _, crash := range fleet[0].crashes.quarantine.Clear("content") { // a trial was answered
			fleet[0].crashes.WithdrawCrash(crash)
		}
		time.Sleep(2 * time.Second)
		ask(fleet[5])
		ask(started)
		g.Expect(sent).To(Equal(2))
		time.Sleep(poison.QuarantineIdle + foreignRowLifetime + foreignRowSpread)
		g.Expect(store.copyRows()).To(BeEmpty())
	})
}

// Guards against a conviction by rows of other writers or of other versions.
func TestInvalidCrashNoticesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	exchange := newCrashExchange(nil, poison.NewQuarantine(nil), discardLogger())
	for _, key := range []string{
		"content/", "/u", "content", "content/u@0", "content/u@-5", "content/u@x", "content/@5", "content/u@99999999999999999999",
		"content/" + strings.Repeat("u", maxCrashKey), "request-trial/content/x", "request-trial/content/-1", "request-trial/content",
	} {
		exchange.apply(discovery.Row{Key: key}, false)
	}
	g.Expect(exchange.quarantine.Crashes("content")).To(BeEmpty())
	g.Expect(exchange.known).To(BeEmpty())
}
