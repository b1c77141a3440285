package storesync

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

func mustEncode(t testing.TB, v any) []byte {
	data, err := link.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func validResponse() updateResponse {
	return updateResponse{Topics: make([]wireUpdate, len(topics))}
}

// Guards against malformed messages of a faulty peer that are accepted as updates.
func TestMalformedMessagesAreRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := decodeResponse(mustEncode(t, validResponse()))
	g.Expect(err).NotTo(HaveOccurred())
	for name, corrupt := range map[string]func(a *updateResponse){
		"too few topics":    func(a *updateResponse) { a.Topics = a.Topics[1:] },
		"too many topics":   func(a *updateResponse) { a.Topics = append(a.Topics, wireUpdate{}) },
		"negative version":  func(a *updateResponse) { a.Topics[0].Version = -1 },
		"negative sequence": func(a *updateResponse) { a.Topics[1].Sequence = -1 },
		"negative age":      func(a *updateResponse) { a.Topics[2].AgeMS = -1 },
		"age of years":      func(a *updateResponse) { a.Topics[3].AgeMS = 1 << 62 },
		"negative hold":     func(a *updateResponse) { a.HeldMS = -1 },
		"hold of years":     func(a *updateResponse) { a.HeldMS = 1 << 62 },
		"too few eras":      func(a *updateResponse) { a.Eras = []int64{1} },
		"negative era":      func(a *updateResponse) { a.Eras = []int64{1, 1, -1, 1} },
		"row without a key": func(a *updateResponse) { a.Topics[0].Rows = []wireRow{{Value: []byte("x")}} },
		"long key":          func(a *updateResponse) { a.Topics[0].Rows = []wireRow{{Key: strings.Repeat("k", maxKeyBytes+1)}} },
		"long value": func(a *updateResponse) {
			a.Topics[0].Rows = []wireRow{{Key: "k", Value: make([]byte, maxValueBytes+1)}}
		},
	} {
		a := validResponse()
		corrupt(&a)
		_, err := decodeResponse(mustEncode(t, a))
		g.Expect(err).To(HaveOccurred(), name)
	}
	for _, q := range []updateRequest{{}, {Positions: make([]wirePosition, len(topics)), HoldMS: -1}, {Positions: make([]wirePosition, len(topics)), HoldMS: 1 << 40}, {Positions: make([]wirePosition, len(topics)), Eras: []int64{1, 2}}} {
		_, err := decodeRequest(mustEncode(t, q))
		g.Expect(err).To(HaveOccurred())
	}
	for _, malformed := range []string{"", "\xff", "{}", "news"} {
		_, err := decodeResponse([]byte(malformed))
		g.Expect(err).To(HaveOccurred())
		_, err = decodeRequest([]byte(malformed))
		g.Expect(err).To(HaveOccurred())
	}
}

// Guards against a configuration with many routes that followers refuse as a malformed
// message, so that all of them read the store directly.
func TestLargeConfigurationReachesFollowers(t *testing.T) {
	withHarness(t, 1, 8, func(h *harness) {
		h.store.takeCounts()
		value := strings.Repeat("9", 400<<10) // newer than the values that checkFreshness writes
		h.store.write(discovery.Configuration, "config", value, false)
		time.Sleep(changeBound)
		for id, p := range h.processes {
			h.g.Expect(p.value(discovery.Configuration, "config")).To(HaveLen(len(value)), "at %s", id)
		}
		calls, _ := h.store.takeCounts()
		// The reader makes a call each 0.84 s, and one more for the change.
		h.g.Expect(calls[discovery.Configuration]).To(BeNumerically("<=", 6))
	})
}

// Guards against stale rows that are sent to each polling instance while no instance
// reaches the store: they use bandwidth and update nobody.
func TestStaleRowsAreNotSent(t *testing.T) {
	withHarness(t, 1, 8, func(h *harness) {
		h.store.update(func(s *store) { s.refuseCall = func(contract.InstanceID) error { return errRefused } })
		time.Sleep(maxRowAge)
		before := h.bytesSent()
		time.Sleep(4 * time.Second)
		// Eight instances poll five peers twice a second; a request takes some 100 bytes, a
		// response less.
		h.g.Expect(h.bytesSent() - before).To(BeNumerically("<", 8*5*2*4*250))
	})
}

// bytesSent returns the bytes of all messages between instances.
func (h *harness) bytesSent() (bytes int64) {
	for id := range h.processes {
		_, sent := h.network.Transport(id).Sent()
		bytes += sent
	}
	return bytes
}

// FuzzMessages guards against a message that crashes the process.
func FuzzMessages(f *testing.F) {
	f.Add(mustEncode(f, validResponse()))
	f.Add(mustEncode(f, updateRequest{Positions: make([]wirePosition, len(topics))}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if a, err := decodeResponse(data); err == nil {
			for _, n := range a.Topics {
				fromWire(n, 1, 0)
			}
		}
		_, _ = decodeRequest(data)
	})
}

// Guards against invalid rows of other writers that add an instance or crash the process.
func TestRowsOfOtherWriters(t *testing.T) {
	g := NewWithT(t)
	self := Member{ID: "self", Address: "10.0.0.1:7200", Domain: "d", Weight: 0.2}
	m := NewMembers(self, discardLogger())
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
	g.Expect(m.AuthoritySecret()).To(BeNil())
	g.Expect(m.DomainMembers()[0].ID).To(BeEquivalentTo("other"), "the member with the highest weight is first")
	m.Apply(discovery.Batch{Rows: []discovery.Row{{Key: "instance/other", Value: []byte("{")}}}, 0)
	g.Expect(m.Count()).To(Equal(1))
}

// Guards against followers that stay with a peer that sends malformed messages or outdated
// rows, or that take an older or the same update for fresh.
func TestFaultyReader(t *testing.T) {
	for name, faulty := range map[string]link.Handler{
		"garbage": func(context.Context, contract.InstanceID, []byte) ([]byte, error) { return []byte("garbage"), nil },
		"outdated rows": func(_ context.Context, _ contract.InstanceID, _ []byte) ([]byte, error) {
			return link.Encode(outdatedResponse())
		},
		"no topics": func(context.Context, contract.InstanceID, []byte) ([]byte, error) {
			return link.Encode(updateResponse{})
		},
		"no topic loaded": func(context.Context, contract.InstanceID, []byte) ([]byte, error) {
			return link.Encode(validResponse())
		},
		"no response": func(ctx context.Context, _ contract.InstanceID, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 1, 8, func(h *harness) {
				for _, ids := range h.readers() {
					h.network.Transport(ids[0]).Handle(messageUpdates, faulty)
				}
				h.checkFreshness(8 * time.Second)
			})
		})
	}
}

// outdatedResponse returns a response that reports an old version as fresh.
func outdatedResponse() updateResponse {
	a := validResponse()
	for i := range a.Topics {
		a.Topics[i] = wireUpdate{Loaded: true, Log: "old", Version: 1, AgeMS: 1, Full: true, Rows: []wireRow{{Key: "config", Value: []byte("0"), Version: 1}}}
	}
	return a
}

// Guards against rows of lost instances that are never removed, and against the removal of
// rows of live instances.
func TestRowsOfLostInstancesAreRemoved(t *testing.T) {
	withHarness(t, 1, 6, func(h *harness) {
		lost := h.domain(0)[0].ID
		h.stop(lost)
		time.Sleep(instanceLossTimeout / 2)
		h.g.Expect(h.rowExists(lost)).To(BeTrue())
		time.Sleep(instanceLossTimeout/2 + 3*lostCheckInterval)
		h.g.Expect(h.rowExists(lost)).To(BeFalse())
		for id := range h.processes {
			h.g.Expect(h.rowExists(id)).To(BeTrue())
		}
		// A live instance whose row is deleted writes it again.
		live := h.domain(0)[3].ID
		h.store.write(discovery.Instances, memberPrefix+string(live), "", true)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		h.g.Expect(h.rowExists(live)).To(BeTrue())
	})
}

// Guards against rows of lost instances that stay for good in failure domains without links,
// so that their parts of request rates stay unused, and against the removal of rows of live
// instances after an outage of the store.
func TestRowsOfLostInstancesOfSmallDomainsAreRemoved(t *testing.T) {
	withHarness(t, 3, 2, func(h *harness) {
		lost := []contract.InstanceID{"d0-01", "d2-00", "d2-01"} // one of a domain, and a whole domain
		for _, id := range lost {
			h.stop(id)
		}
		time.Sleep(instanceLossTimeout / 2)
		for _, id := range h.ids {
			h.g.Expect(h.rowExists(id)).To(BeTrue())
		}
		time.Sleep(instanceLossTimeout/2 + 5*lostCheckInterval)
		for _, id := range lost {
			h.g.Expect(h.rowExists(id)).To(BeFalse())
		}
		for id, p := range h.processes {
			h.g.Expect(h.rowExists(id)).To(BeTrue())
			h.g.Expect(p.members.Count()).To(Equal(3))
		}
		h.store.update(func(s *store) { s.refuseCall = func(contract.InstanceID) error { return errRefused } })
		time.Sleep(2 * instanceLossTimeout)
		removed := false
		h.store.update(func(s *store) { s.refuseCall = nil })
		for range 120 {
			time.Sleep(5 * time.Second)
			for id := range h.processes {
				removed = removed || !h.rowExists(id)
			}
		}
		h.g.Expect(removed).To(BeFalse(), "live instances")
	})
}

func (h *harness) rowExists(id contract.InstanceID) bool {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	row, found := h.store.rows[discovery.Instances][memberPrefix+string(id)]
	return found && !row.Deleted
}
