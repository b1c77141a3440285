package soak

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/naive"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/upstreamtest"
)

// TestResultsMatchNaiveVersion guards against results that differ, without faults,
// from those of the naive version.
func TestResultsMatchNaiveVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1, 3, platformtest.Faults{})
		h.submitFirstConfiguration()
		for i := range 20 {
			request := client.GenerationRequest{
				RequestID: requestID(fmt.Sprintf("g-%d", i)), Service: sparing, Prompt: fmt.Sprintf("guide %d", i), MaxTokens: int64(10 + i), Seed: 1,
			}
			result := h.runGeneration(balancer, request, true)
			g.Expect(result.Verdict.Outcome).To(Equal(contract.Completed))
			g.Expect(result.Tokens).To(Equal(h.naiveText(g, request)))
		}
		for i := range 20 {
			key := fmt.Sprintf("%013d-%d", time.Now().UnixMilli(), i)
			result, err := h.submit([]contract.ServiceID{charges, lookups}[i%2], key, callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Body).To(Equal(h.naiveResponse(g, key)))
		}
		h.expectSamePatches(g)
		h.shutDown()
		h.report(1)
	})
}

// naiveText returns the tokens that the naive version generates.
func (h *harness) naiveText(g *WithT, request client.GenerationRequest) []string {
	generations := naive.NewGenerations(generation.Config{Router: h.dialer, Dialer: h.dialer})
	subscription, _, ok := generations.Open(context.Background(), generation.Request{
		ID: request.RequestID, Prompt: request.Prompt, MaxTokens: request.MaxTokens, MaxAttempts: 1, Deadline: time.Now().Add(time.Minute),
	})
	g.Expect(ok).To(BeTrue())
	defer subscription.Close()
	var texts []string
	for {
		event, err := subscription.Next(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		switch event.Kind {
		case generation.EventToken:
			texts = append(texts, event.Text)
		case generation.EventEnd:
			g.Expect(event.Verdict.Outcome).To(Equal(contract.Completed))
			return texts
		}
	}
}

// naiveResponse returns the body that the naive version returns for a call to a
// separate fake service.
func (h *harness) naiveResponse(g *WithT, key string) string {
	server := upstreamtest.NewFakeEngine(upstreamtest.EngineConfig{Target: upstream.Target{ID: serviceID(0)}})
	dispatcher := naive.NewDispatcher(dispatch.Config{
		Router: upstreamtest.NewFakeRouter(server), Services: gatedServices{newGate(), newServices(1)},
	})
	result := dispatcher.Call(context.Background(), dispatch.Request{ID: requestID(key), Body: []byte("order " + key)})
	g.Expect(result.Verdict.Outcome).To(Equal(contract.Completed))
	return string(result.Response.Body)
}

// expectSamePatches submits the same patches to both versions and compares the results.
func (h *harness) expectSamePatches(g *WithT) {
	holder := &naive.ConfigurationHolder{}
	acceptor := &naive.PatchAcceptor{Table: platformtest.NewTableService(), Holder: holder}
	first, err := configuration.EncodeDocument(document())
	g.Expect(err).NotTo(HaveOccurred())
	acceptor.Submit(context.Background(), configuration.Patch{ID: "first", Body: first})
	for version := range int64(3) {
		id := fmt.Sprintf("%013d-%04x", 0, version)
		h.patch(id, version+1)
		acceptor.Submit(context.Background(), configuration.Patch{
			ID: id, Body: []byte(fmt.Sprintf(`{"workspaces":{"last":{"weight":2},"w-%s":{"weight":3}}}`, id[14:18])),
		})
	}
	time.Sleep(inForceBound)
	for _, n := range h.nodes {
		g.Expect(n.current().instance.Configuration().Version).To(Equal(holder.Current().Version))
		g.Expect(n.current().instance.Configuration().Document).To(Equal(configuration.WithDefaults(holder.Current().Document)))
	}
}
