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
	balancer     = "balancer"
	callTimeout  = 12 * time.Second
	generateTime = 25 * time.Second
)

// newKey returns a key of 13 digits and a random part. Virtual time begins in
// 2000, when 12 digits were enough.
func newKey(rng *rand.Rand) string {
	return fmt.Sprintf("%013d-%016x", time.Now().UnixMilli(), rng.Uint64())
}

func requestID(key string) contract.RequestID { return contract.RequestID{Workspace: space, Key: key} }

// load starts the requests of one step.
func (w *world) load() {
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), 3))
	switch w.rng.IntN(10) {
	case 0, 1, 2, 3:
		w.tasks.Go(func() { w.generate(rng) })
	case 4, 5, 6:
		w.tasks.Go(func() { w.charge(rng) })
	case 7, 8:
		w.tasks.Go(func() { w.lookup(rng) })
	default:
		w.operators(rng)
	}
}

func (w *world) newGeneration(rng *rand.Rand) client.Generation {
	key := newKey(rng)
	g := client.Generation{
		Request: requestID(key), Service: sparing, Prompt: "a guide for " + key, MaxTokens: 20 + rng.Int64N(40), Seed: 1,
	}
	if rng.IntN(2) == 0 {
		g.Service = fast
	}
	if rng.IntN(2) == 0 {
		g.Temperature = 0.7
	}
	return g
}

// generate runs a generation, sometimes submitted twice at the same time.
func (w *world) generate(rng *rand.Rand) {
	g := w.newGeneration(rng)
	if rng.IntN(8) == 0 {
		w.tasks.Go(func() { w.runGeneration(balancer, g, false) })
		w.runGeneration(balancer, g, false)
		return
	}
	w.runGeneration(balancer, g, true)
}

func (w *world) runGeneration(host string, g client.Generation, only bool) client.GenerationResult {
	ctx, cancel := context.WithTimeout(context.Background(), generateTime)
	defer cancel()
	started := time.Now()
	result, err := w.client(host).Generate(ctx, g)
	w.checkGeneration(g, result, err, started, only)
	return result
}

// charge runs a non-idempotent call and sends it again with the same key, one
// after the other and at the same time.
func (w *world) charge(rng *rand.Rand) {
	key := newKey(rng)
	for range 1 + rng.IntN(4) {
		if rng.IntN(4) == 0 {
			w.tasks.Go(func() { w.submit(charges, key, callTimeout) })
		}
		timeout := callTimeout
		if rng.IntN(6) == 0 {
			timeout = time.Duration(1 + rng.Int64N(int64(time.Second)))
		}
		w.submit(charges, key, timeout)
		time.Sleep(time.Duration(1 + rng.Int64N(int64(3*time.Second))))
	}
}

func (w *world) lookup(rng *rand.Rand) { w.submit(lookups, newKey(rng), callTimeout) }

func (w *world) submit(service contract.ServiceID, key string, timeout time.Duration) (client.CallResult, error) {
	return w.submitAt(balancer, service, key, timeout)
}

func (w *world) submitAt(host string, service contract.ServiceID, key string, timeout time.Duration) (client.CallResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	started := time.Now()
	request := oas.CallRequest{}
	request.Body.SetTo("order " + key)
	result, err := w.client(host).Call(ctx, requestID(key), service, request)
	w.checkCall(service, key, result, err, started)
	return result, err
}

// operators lets one to three operators patch the same version.
func (w *world) operators(rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	configuration, err := w.client(balancer).Endpoint().GetConfiguration(ctx)
	cancel()
	if err != nil {
		return
	}
	for range 1 + rng.IntN(3) {
		id := newKey(rng)
		w.tasks.Go(func() { w.patch(id, configuration.Version) })
	}
}

// patch sends a patch until its outcome is known, or a few times.
func (w *world) patch(id string, base int64) {
	body := fmt.Sprintf(`{"workspaces":{"last":{"weight":2},"w-%s":{"weight":3}}}`, id[14:18])
	for range 4 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		result, err := w.client(balancer).Endpoint().SubmitPatch(ctx, &oas.PatchRequest{
			PatchID: oas.Key(id), BaseVersion: base, Patch: []byte(body),
		})
		cancel()
		if !w.checkPatch(id, result, err) {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// poison sends a content that crashes every engine, again and again.
func (w *world) poison(name string, senders int, span time.Duration) {
	g := client.Generation{Service: sparing, Prompt: poisonText + " " + name, MaxTokens: 30, Seed: 1}
	began := time.Now()
	w.history.addPoison(g.Prompt, senders, began, began.Add(span))
	for sender := range senders {
		w.tasks.Go(func() {
			for n := 0; time.Since(began) < span; n++ {
				g := g
				g.Request = requestID(fmt.Sprintf("%s-%d-%d", name, sender, n))
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				started := time.Now()
				result, err := w.client(balancer).Generate(ctx, g)
				cancel()
				w.checkPoison(g, result, err, started)
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
}
