package forward

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// crashOnRequest makes upstreams crash when they receive the request.
func (w *harness) crashOnRequest(names ...string) {
	w.setBehavior(func(v receivedRequest) (*http.Response, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.unresponsive[v.upstream] = true
		return nil, errReset
	}, names...)
}

// Guards against a poison request that crashes one upstream after the other.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, streaming, true, "a", "b", "c", "d", "e", "f")
		w.crashOnRequest("a", "b", "c", "d", "e", "f")
		got := w.request(t.Context(), nil)
		w.g.Expect(got.status).To(Equal(http.StatusBadGateway))
		w.g.Expect(w.receivedBy()).To(HaveLen(crashLimit))
		synctest.Wait()
		w.g.Expect(w.sharedCrashes).To(HaveLen(crashLimit), "the other instances need all crashes")

		again := w.request(t.Context(), nil)
		w.g.Expect(again.status).To(Equal(http.StatusBadGateway))
		w.g.Expect(again.duration).To(BeZero())
		w.g.Expect(w.receivedBy()).To(HaveLen(crashLimit))
		time.Sleep(QuarantineTime)
		w.request(t.Context(), nil)
		w.g.Expect(len(w.receivedBy())).To(BeNumerically(">", crashLimit))
	})
}

// Guards against a poison call that is retried at other instances, each of which has
// seen only one crash.
func TestCrashesOfCallsAreShared(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, atMostOnce, false, "a", "b", "c", "d")
		w.crashOnRequest("a", "b", "c", "d")
		w.request(t.Context(), nil)
		time.Sleep(time.Second)
		synctest.Wait()
		w.g.Expect(w.sharedCrashes).To(HaveLen(1))
		for _, other := range []string{"x", "y"} {
			w.f.Quarantine.Add(time.Now(), Crash{Content: w.sharedCrashes[0].Content, Upstream: other})
		}
		w.g.Expect(w.request(t.Context(), nil).status).To(Equal(http.StatusBadGateway))
		w.g.Expect(w.receivedBy()).To(HaveLen(1))
	})
}

// Guards against quarantining a harmless request because its upstreams failed for other
// reasons.
func TestHarmlessRequestsAreNotQuarantined(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) { // connections are lost, upstreams stay alive
		w := newHarness(t, streaming, true, "a", "b", "c", "d", "e", "f")
		w.setBehavior(resetConnection, "a", "b", "c", "d", "e", "f")
		w.request(t.Context(), nil)
		w.g.Expect(len(w.receivedBy())).To(Equal(streaming.MaxAttempts))
	})
	inVirtualTime(t, func(t *testing.T) { // whole failure domains are lost
		w := newHarness(t, streaming, true)
		var list []pool.Upstream
		var names []string
		for i := range 9 {
			name := fmt.Sprint("s", i)
			names = append(names, name)
			list = append(list, pool.Upstream{ID: name, Service: "service", Address: name, FailureDomain: fmt.Sprint("domain-", i/3), Slots: 8, Born: 1})
		}
		w.pool.Replace(list)
		w.setBehavior(func(v receivedRequest) (*http.Response, error) {
			for _, m := range w.pool.Members("service") {
				if m.FailureDomain == "domain-"+fmt.Sprint((v.upstream[1]-'0')/3) {
					m.Lose(time.Now())
				}
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.unresponsive[v.upstream] = true
			return nil, errReset
		}, names...)
		w.request(t.Context(), nil)
		synctest.Wait()
		w.g.Expect(w.f.Quarantine.Holds(time.Now(), newContent("", http.MethodPost, "http://host/path/%2f?query=1", []byte("body")))).To(BeFalse())
		w.g.Expect(w.sharedCrashes).To(BeEmpty())
	})
	inVirtualTime(t, func(t *testing.T) { // an upstream completed the request meanwhile
		w := newHarness(t, streaming, true, "a", "b")
		q := w.f.Quarantine
		content := newContent("", http.MethodPost, "http://host/path/%2f?query=1", []byte("body"))
		q.Add(time.Now(), Crash{Content: content, Upstream: "x"})
		q.Add(time.Now(), Crash{Content: content, Upstream: "y"})
		w.setBehavior(stream(5, time.Millisecond, nil), "a", "b")
		w.request(t.Context(), nil)
		q.Add(time.Now(), Crash{Content: content, Upstream: "z"})
		w.g.Expect(q.Holds(time.Now(), content)).To(BeFalse())
	})
}
