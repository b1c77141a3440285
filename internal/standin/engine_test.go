package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Guards against a VerifyText that accepts a text joined from two texts, or one
// with a repeated or missing token.
func TestVerifyTextDetectsEveryJoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		seed := rapid.Uint64().Draw(t, "seed")
		run := func(nonce string) []string {
			chain, texts := newTextChain(prompt, seed), []string(nil)
			for range 20 {
				texts = append(texts, chain.next(nonce))
				chain.add(texts[len(texts)-1])
			}
			return texts
		}
		one, two := run("aaaa"), run("bbbb")
		if err := VerifyText(prompt, seed, one); err != nil {
			t.Fatal(err)
		}
		joint := rapid.IntRange(1, 19).Draw(t, "joint")
		if VerifyText(prompt, seed, append(one[:joint:joint], two[joint:]...)) == nil {
			t.Fatalf("joint at %d not detected", joint)
		}
		if VerifyText(prompt, seed, append(one[:joint:joint], one[joint-1:]...)) == nil {
			t.Fatalf("doubled token at %d not detected", joint-1)
		}
		if joint < 19 && VerifyText(prompt, seed, append(one[:joint:joint], one[joint+1:]...)) == nil {
			t.Fatalf("missing token %d not detected", joint)
		}
	})
}

// Guards against a prefix cache that exceeds its capacity or counts hits after a
// block that is not cached.
func TestPrefixCache(t *testing.T) {
	g := NewWithT(t)
	tokens := func(kind string, n int) (texts []string) {
		for i := range n {
			texts = append(texts, fmt.Sprint(kind, i))
		}
		return texts
	}
	cache := newPrefixCache(4)
	g.Expect(cache.lookupAndInsert(tokens("a", 40))).To(Equal(0))
	g.Expect(cache.lookupAndInsert(tokens("a", 40))).To(Equal(32))
	g.Expect(cache.lookupAndInsert(append(tokens("b", 16), tokens("a", 40)...))).To(Equal(0))
	g.Expect(cache.lookupAndInsert(tokens("c", 64))).To(Equal(0))
	g.Expect(cache.lookupAndInsert(tokens("a", 40))).To(Equal(0), "blocks must have been removed")
	g.Expect(len(cache.blocks)).To(Equal(4))
}

// Guards against load reports without the configured lag.
func TestLoadLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := NewEngine(EngineConfig{LoadLag: 2 * time.Second, Exit: func(int) {}})
		defer e.Close()
		leaving := func() bool {
			recorder := httptest.NewRecorder()
			e.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/load", nil))
			var report upstream.LoadReport
			g.Expect(json.Unmarshal(recorder.Body.Bytes(), &report)).To(Succeed())
			return report.Leaving
		}
		time.Sleep(time.Second)
		e.Faults().Set(Fault{Leaving: true})
		time.Sleep(time.Second)
		g.Expect(leaving()).To(BeFalse())
		time.Sleep(time.Second)
		g.Expect(leaving()).To(BeTrue())
	})
}

// Guards against streams without a reader that occupy a slot or memory forever.
func TestUnreadStreamsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := NewEngine(EngineConfig{Exit: func(int) {}})
		defer e.Close()
		stream := newEngineStream(upstream.StreamRequest{Stream: "s", MaxTokens: 1 << 40})
		stream.detachedAt = time.Now()
		e.mu.Lock()
		e.enqueue(stream)
		e.mu.Unlock()
		time.Sleep(29 * time.Second)
		g.Expect(e.Counters().StreamsCancelled).To(BeZero())
		time.Sleep(3 * time.Second)
		g.Expect(e.Counters().StreamsCancelled).To(BeEquivalentTo(1))
		g.Expect(e.Counters().TokensGenerated).To(BeNumerically("~", 1500, 100))
		equal, decided := stream.matches(contract.StartPosition())
		g.Expect(equal && decided).To(BeTrue())
	})
}

// Guards against a fencing check that ignores ChecksFencing: engines with and
// without the check exist.
func TestOrdersWithOldFencingNumber(t *testing.T) {
	for _, checks := range []bool{false, true} {
		g := NewWithT(t)
		e := NewEngine(EngineConfig{ChecksFencing: checks, Exit: func(int) {}})
		order := func(fencing int64) int {
			body, err := json.Marshal(OrderRequest{Order: EngineOrder{Kind: "change_role", Role: "prefill"}, Fencing: fencing})
			g.Expect(err).NotTo(HaveOccurred())
			recorder := httptest.NewRecorder()
			e.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/orders", bytes.NewReader(body)))
			return recorder.Code
		}
		g.Expect(order(5)).To(Equal(http.StatusNoContent))
		if checks {
			g.Expect(order(4)).To(Equal(http.StatusConflict))
		} else {
			g.Expect(order(4)).To(Equal(http.StatusNoContent))
		}
		e.Close()
	}
}
