package news

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
)

func encoded(t testing.TB, v any) []byte {
	data, err := link.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func wellFormed() updateResponse {
	return updateResponse{Topics: make([]wireUpdate, len(topics))}
}

// Guards against messages of a faulty peer that are taken for news.
func TestMalformedMessagesAreRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := decodeResponse(encoded(t, wellFormed()))
	g.Expect(err).NotTo(HaveOccurred())
	for name, damage := range map[string]func(a *updateResponse){
		"too few topics":    func(a *updateResponse) { a.Topics = a.Topics[1:] },
		"too many topics":   func(a *updateResponse) { a.Topics = append(a.Topics, wireUpdate{}) },
		"negative version":  func(a *updateResponse) { a.Topics[0].Version = -1 },
		"negative sequence": func(a *updateResponse) { a.Topics[1].Sequence = -1 },
		"negative age":      func(a *updateResponse) { a.Topics[2].AgeMS = -1 },
		"age of years":      func(a *updateResponse) { a.Topics[3].AgeMS = 1 << 62 },
		"negative hold":     func(a *updateResponse) { a.HeldMS = -1 },
		"hold of years":     func(a *updateResponse) { a.HeldMS = 1 << 62 },
		"row without a key": func(a *updateResponse) { a.Topics[0].Rows = []wireRow{{Value: []byte("x")}} },
		"long key":          func(a *updateResponse) { a.Topics[0].Rows = []wireRow{{Key: strings.Repeat("k", maxKeyBytes+1)}} },
		"long value": func(a *updateResponse) {
			a.Topics[0].Rows = []wireRow{{Key: "k", Value: make([]byte, maxValueBytes+1)}}
		},
	} {
		a := wellFormed()
		damage(&a)
		_, err := decodeResponse(encoded(t, a))
		g.Expect(err).To(HaveOccurred(), name)
	}
	for _, q := range []updateRequest{{}, {Positions: make([]wirePosition, len(topics)), HoldMS: -1}, {Positions: make([]wirePosition, len(topics)), HoldMS: 1 << 40}} {
		_, err := decodeRequest(encoded(t, q))
		g.Expect(err).To(HaveOccurred())
	}
	for _, garbage := range []string{"", "\xff", "{}", "news"} {
		_, err := decodeResponse([]byte(garbage))
		g.Expect(err).To(HaveOccurred())
		_, err = decodeRequest([]byte(garbage))
		g.Expect(err).To(HaveOccurred())
	}
}

// Guards against a configuration with many routes that followers take for a malformed
// message: all of them then read the store for themselves.
func TestLargeConfigurationReachesFollowers(t *testing.T) {
	inWorld(t, 1, 8, func(w *world) {
		w.store.taken()
		value := strings.Repeat("9", 400<<10) // newer than the values that watch writes
		w.store.write(discovery.Configuration, "config", value, false)
		time.Sleep(bound)
		for id, p := range w.processes {
			w.g.Expect(p.value(discovery.Configuration, "config")).To(HaveLen(len(value)), "at %s", id)
		}
		calls, _ := w.store.taken()
		// One reader makes a call each 0.84 s, and one more for the change.
		w.g.Expect(calls[discovery.Configuration]).To(BeNumerically("<=", 6))
	})
}

// Guards against rows that are sent to each instance that asks while the store is away
// from all: the news of a peer that is old helps nobody.
func TestOldNewsIsNotSent(t *testing.T) {
	inWorld(t, 1, 8, func(w *world) {
		w.store.set(func(s *store) { s.refuse = func(contract.InstanceID) error { return errRefused } })
		time.Sleep(fresh)
		before := w.sent()
		time.Sleep(4 * time.Second)
		// Eight ask five others twice a second; a question takes some 100 bytes, an answer few.
		w.g.Expect(w.sent() - before).To(BeNumerically("<", 8*5*2*4*250))
	})
}

// sent returns the bytes of all messages between instances.
func (w *world) sent() (bytes int64) {
	for id := range w.processes {
		_, sent := w.network.Transport(id).Sent()
		bytes += sent
	}
	return bytes
}

// FuzzMessages guards against a message that ends the process.
func FuzzMessages(f *testing.F) {
	f.Add(encoded(f, wellFormed()))
	f.Add(encoded(f, updateRequest{Positions: make([]wirePosition, len(topics))}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if a, err := decodeResponse(data); err == nil {
			for _, n := range a.Topics {
				fromWire(n, 0)
			}
		}
		_, _ = decodeRequest(data)
	})
}

// Guards against rows of other writers that name an instance, or end the process.
func TestRowsOfOtherWriters(t *testing.T) {
	g := NewWithT(t)
	self := Member{ID: "self", Address: "10.0.0.1:7200", Domain: "d", Weight: 0.2}
	m := NewMembers(self, quiet())
	valid := `{"address":"10.0.0.2:7200","failure_domain":"d","weight":0.8}`
	rows := []discovery.Row{{Key: "instance/other", Value: []byte(valid)}}
	for key, value := range map[string]string{
		"instance/": valid, "instance/a/b": valid, "instance/" + strings.Repeat("x", maxInstanceID+1): valid, "other": valid,
		"instance/a": "", "instance/b": "{", "instance/c": `{"address":"name:1","failure_domain":"d","weight":1}`,
		"instance/d": `{"address":"10.0.0.2:1","failure_domain":"","weight":1}`, "instance/e": `{"address":"10.0.0.2:1","failure_domain":"d","weight":-1}`,
		"instance/f": `{"address":"10.0.0.2:1","failure_domain":"d","weight":1e9}`, "instance/g": `{"address":7}`, secretKey: "too short",
	} {
		rows = append(rows, discovery.Row{Key: key, Value: []byte(value)})
	}
	m.Apply(discovery.Batch{Rows: rows}, 0)
	g.Expect(m.Count()).To(Equal(2))
	g.Expect(m.Secret()).To(BeNil())
	g.Expect(m.Domain()[0].ID).To(BeEquivalentTo("other"), "the heaviest is first")
	m.Apply(discovery.Batch{Rows: []discovery.Row{{Key: "instance/other", Value: []byte("{")}}}, 0)
	g.Expect(m.Count()).To(Equal(1))
}

// Guards against followers of a peer that sends what cannot be read, or news of another
// time, and against a follower that takes an older or the same news for fresh.
func TestFaultyReader(t *testing.T) {
	for name, faulty := range map[string]link.Handler{
		"garbage": func(context.Context, contract.InstanceID, []byte) ([]byte, error) { return []byte("garbage"), nil },
		"old news": func(_ context.Context, _ contract.InstanceID, _ []byte) ([]byte, error) {
			return link.Encode(oldNews())
		},
		"other topics": func(context.Context, contract.InstanceID, []byte) ([]byte, error) {
			return link.Encode(updateResponse{})
		},
		"nothing known": func(context.Context, contract.InstanceID, []byte) ([]byte, error) {
			return link.Encode(wellFormed())
		},
		"nothing": func(ctx context.Context, _ contract.InstanceID, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, 8, func(w *world) {
				for _, ids := range w.readers() {
					w.network.Transport(ids[0]).Handle(messageUpdates, faulty)
				}
				w.watch(8 * time.Second)
			})
		})
	}
}

// oldNews is an answer with a version of long ago, said to be fresh.
func oldNews() updateResponse {
	a := wellFormed()
	for i := range a.Topics {
		a.Topics[i] = wireUpdate{Known: true, Log: "old", Version: 1, AgeMS: 1, Full: true, Rows: []wireRow{{Key: "config", Value: []byte("0"), Version: 1}}}
	}
	return a
}

// Guards against rows of lost instances that stay for good, and against the removal of
// those of live ones.
func TestRowsOfLostInstancesAreRemoved(t *testing.T) {
	inWorld(t, 1, 6, func(w *world) {
		lost := w.domain(0)[0].ID
		w.stop(lost)
		time.Sleep(lostAfter / 2)
		w.g.Expect(w.listed(lost)).To(BeTrue())
		time.Sleep(lostAfter/2 + 3*lostCheckInterval)
		w.g.Expect(w.listed(lost)).To(BeFalse())
		for id := range w.processes {
			w.g.Expect(w.listed(id)).To(BeTrue())
		}
		// A live instance whose row has gone writes it again.
		live := w.domain(0)[3].ID
		w.store.write(discovery.Instances, memberPrefix+string(live), "", true)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		w.g.Expect(w.listed(live)).To(BeTrue())
	})
}

func (w *world) listed(id contract.InstanceID) bool {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	row, found := w.store.rows[discovery.Instances][memberPrefix+string(id)]
	return found && !row.Deleted
}
