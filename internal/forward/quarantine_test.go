package forward

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
)

// crashOnRequest makes upstreams crash when they receive the request.
func (h *harness) crashOnRequest(names ...string) {
	h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.unresponsive[req.upstream] = true
		return nil, errReset
	}, names...)
}

// Guards against a poison request that crashes one upstream after the other.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d", "e", "f")
		h.crashOnRequest("a", "b", "c", "d", "e", "f")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusBadGateway))
		h.g.Expect(h.receivedBy()).To(HaveLen(poison.CrashLimit))
		synctest.Wait()
		h.g.Expect(h.sharedCrashes).To(HaveLen(poison.CrashLimit), "the other instances need all crashes")

		again := h.request(t.Context(), nil)
		h.g.Expect(again.status).To(Equal(http.StatusBadGateway))
		h.g.Expect(again.duration).To(BeZero())
		h.g.Expect(h.receivedBy()).To(HaveLen(poison.CrashLimit))
		time.Sleep(poison.QuarantineDuration)
		h.request(t.Context(), nil)
		h.g.Expect(len(h.receivedBy())).To(BeNumerically(">", poison.CrashLimit))
	})
}

// Guards against a poison call that is retried at other instances, each of which has
// seen only one crash.
func TestCrashesOfCallsAreShared(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a", "b", "c", "d")
		h.crashOnRequest("a", "b", "c", "d")
		h.request(t.Context(), nil)
		time.Sleep(time.Second)
		synctest.Wait()
		h.g.Expect(h.sharedCrashes).To(HaveLen(1))
		for _, other := range []string{"x", "y"} {
			h.f.Quarantine.Add(time.Now(), poison.RequestCrash{Content: h.sharedCrashes[0].Content, Process: other})
		}
		h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusBadGateway))
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against quarantining a harmless request because its upstreams failed for other
// reasons.
func TestHarmlessRequestsAreNotQuarantined(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) { // connections are lost, upstreams stay alive
		h := newHarness(t, streaming, true, "a", "b", "c", "d", "e", "f")
		h.setBehaviour(resetConnection, "a", "b", "c", "d", "e", "f")
		h.request(t.Context(), nil)
		h.g.Expect(len(h.receivedBy())).To(Equal(streaming.MaxAttempts))
	})
	inVirtualTime(t, func(t *testing.T) { // whole failure domains are lost
		h := newHarness(t, streaming, true)
		var list []pool.Upstream
		var names []string
		for i := range 9 {
			name := fmt.Sprint("s", i)
			names = append(names, name)
			list = append(list, pool.Upstream{ID: name, Service: "service", Address: name, FailureDomain: fmt.Sprint("domain-", i/3), Slots: 8, StartedAt: 1})
		}
		h.pool.Replace(list)
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			for _, m := range h.pool.Members("service") {
				if m.FailureDomain == "domain-"+fmt.Sprint((req.upstream[1]-'0')/3) {
					m.MarkLost(time.Now())
				}
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			h.unresponsive[req.upstream] = true
			return nil, errReset
		}, names...)
		h.request(t.Context(), nil)
		synctest.Wait()
		h.g.Expect(h.f.Quarantine.Contains(time.Now(), poison.NewContent("", http.MethodPost, "http://host/path/%2f?query=1", []byte("body")))).To(BeFalse())
		h.g.Expect(h.sharedCrashes).To(BeEmpty())
	})
	inVirtualTime(t, func(t *testing.T) { // an upstream completed the request meanwhile
		h := newHarness(t, streaming, true, "a", "b")
		q := h.f.Quarantine
		content := poison.NewContent("", http.MethodPost, "http://host/path/%2f?query=1", []byte("body"))
		q.Add(time.Now(), poison.RequestCrash{Content: content, Process: "x"})
		q.Add(time.Now(), poison.RequestCrash{Content: content, Process: "y"})
		h.setBehaviour(sendEvents(5, time.Millisecond, nil), "a", "b")
		h.request(t.Context(), nil)
		q.Add(time.Now(), poison.RequestCrash{Content: content, Process: "z"})
		h.g.Expect(q.Contains(time.Now(), content)).To(BeFalse())
	})
}
