package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	balancer          = "balancer"
	callTimeout       = 12 * time.Second
	generationTimeout = 25 * time.Second
)

// newKey returns a key with a timestamp of 13 digits and a random part. Virtual time
// starts in 2000, where Unix milliseconds have 12 digits, so they are padded.
func newKey(rng *rand.Rand) string {
	return fmt.Sprintf("%013d-%016x", time.Now().UnixMilli(), rng.Uint64())
}

func requestID(key string) contract.RequestID {
	return contract.RequestID{Workspace: workspace, Key: key}
}

// startRequest starts one random kind of request.
func (h *harness) startRequest() {
	rng := rand.New(rand.NewPCG(h.rng.Uint64(), 3))
	switch h.rng.IntN(10) {
	case 0, 1, 2, 3:
		h.tasks.Go(func() { h.generate(rng) })
	case 4, 5, 6:
		h.tasks.Go(func() { h.charge(rng) })
	case 7, 8:
		h.tasks.Go(func() { h.lookup(rng) })
	default:
		h.submitConcurrentPatches(rng)
	}
}

func (h *harness) newGeneration(rng *rand.Rand) client.GenerationRequest {
	key := newKey(rng)
	g := client.GenerationRequest{
		RequestID: requestID(key), Service: sparing, Prompt: "a guide for " + key, MaxTokens: 20 + rng.Int64N(40), Seed: 1,
	}
	if rng.IntN(2) == 0 {
		g.Service = fast
	}
	if rng.IntN(2) == 0 {
		g.Temperature = 0.7
	}
	return g
}

// generate runs a generation, sometimes submitted twice concurrently.
func (h *harness) generate(rng *rand.Rand) {
	g := h.newGeneration(rng)
	if rng.IntN(8) == 0 {
		h.tasks.Go(func() { h.runGeneration(balancer, g, false) })
		h.runGeneration(balancer, g, false)
		return
	}
	h.runGeneration(balancer, g, true)
}

func (h *harness) runGeneration(host string, g client.GenerationRequest, submittedOnce bool) client.GenerationResult {
	ctx, cancel := context.WithTimeout(context.Background(), generationTimeout)
	defer cancel()
	started := time.Now()
	result, err := h.client(host).Generate(ctx, g)
	h.checkGeneration(g, result, err, started, submittedOnce)
	return result
}

// charge submits a non-idempotent call one or more times with the same key,
// sequentially and concurrently.
func (h *harness) charge(rng *rand.Rand) {
	key := newKey(rng)
	for range 1 + rng.IntN(4) {
		if rng.IntN(4) == 0 {
			h.tasks.Go(func() { h.submit(charges, key, callTimeout) })
		}
		timeout := callTimeout
		if rng.IntN(6) == 0 {
			timeout = time.Duration(1 + rng.Int64N(int64(time.Second)))
		}
		h.submit(charges, key, timeout)
		time.Sleep(time.Duration(1 + rng.Int64N(int64(3*time.Second))))
	}
}

func (h *harness) lookup(rng *rand.Rand) { h.submit(lookups, newKey(rng), callTimeout) }

func (h *harness) submit(service contract.ServiceID, key string, timeout time.Duration) (client.CallResult, error) {
	return h.submitAt(balancer, service, key, timeout)
}

func (h *harness) submitAt(host string, service contract.ServiceID, key string, timeout time.Duration) (client.CallResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	started := time.Now()
	request := oas.CallRequest{}
	request.Body.SetTo("order " + key)
	result, err := h.client(host).Call(ctx, requestID(key), service, request)
	h.checkCall(service, key, result, err, started)
	return result, err
}

// submitConcurrentPatches submits one to three concurrent patches against the same version.
func (h *harness) submitConcurrentPatches(rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	configuration, err := h.client(balancer).NextEndpoint().GetConfiguration(ctx)
	cancel()
	if err != nil {
		return
	}
	for range 1 + rng.IntN(3) {
		id := newKey(rng)
		h.tasks.Go(func() { h.patch(id, configuration.Version) })
	}
}

// patch submits a patch until its outcome is known, at most four times.
func (h *harness) patch(id string, base int64) {
	body := fmt.Sprintf(`{"workspaces":{"last":{"weight":2},"w-%s":{"weight":3}}}`, id[14:18])
	for range 4 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		result, err := h.client(balancer).NextEndpoint().SubmitPatch(ctx, &oas.PatchRequest{
			PatchID: oas.Key(id), BaseVersion: base, Patch: []byte(body),
		})
		cancel()
		if !h.checkPatch(id, result, err) {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// repeatPoison resends a prompt that crashes every engine from each sender for span.
func (h *harness) repeatPoison(name string, senders int, span time.Duration) {
	g := client.GenerationRequest{Service: sparing, Prompt: poisonText + " " + name, MaxTokens: 30, Seed: 1}
	start := time.Now()
	h.history.addPoison(g.Prompt, senders, start, start.Add(span))
	for sender := range senders {
		h.tasks.Go(func() {
			for n := 0; time.Since(start) < span; n++ {
				g := g
				g.RequestID = requestID(fmt.Sprintf("%s-%d-%d", name, sender, n))
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				started := time.Now()
				result, err := h.client(balancer).Generate(ctx, g)
				cancel()
				h.checkPoison(g, result, err, started)
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
}
