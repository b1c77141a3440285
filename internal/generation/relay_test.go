package generation_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/link"
)

// runRelayCase runs a test with a caller that has read ten tokens at instance 0.
// The test reconnects it at instance 1, which relays the generation.
func runRelayCase(t *testing.T, run func(g Gomega, h *harness, c *caller)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, configuration.ResumeSparing, false)
		defer h.close()
		c := h.caller("request")
		c.connect(0, false)
		c.read(10)
		run(NewWithT(t), h, c)
		c.sub.Close()
	})
}

func (h *harness) totalStarts() int {
	starts := 0
	for _, e := range h.engines {
		starts += len(e.Starts())
	}
	return starts
}

// Guards against a second attempt although the holder is reachable.
func TestRelayReadsFromHolder(t *testing.T) {
	runRelayCase(t, func(g Gomega, h *harness, c *caller) {
		g.Expect(c.connect(1, false)).To(BeTrue())
		c.readAll()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(h.registries[1].ActiveGenerations()).To(BeZero())
		g.Expect(h.totalStarts()).To(Equal(1))
	})
}

// Guards against an interrupted caller when the link or the holder fails during a
// relay: the relaying instance takes over at the next token. It does not need the
// caller's text if it can read the engine's stream from the beginning.
func TestRelayTakesOver(t *testing.T) {
	faults := map[string]func(h *harness){
		"link cut":                  func(h *harness) { h.links.sever() },
		"link silent":               func(h *harness) { h.links.silence() },
		"holder cut off as well":    func(h *harness) { h.links.sever(); h.dialers[0].SetSevered(true) },
		"holder silent and cut off": func(h *harness) { h.links.silence(); h.dialers[0].SetSevered(true) },
	}
	for name, fault := range faults {
		for _, received := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				runRelayCase(t, func(g Gomega, h *harness, c *caller) {
					g.Expect(c.connect(1, received)).To(BeTrue())
					c.read(20)
					fault(h)
					c.readAll()
					g.Expect(c.violation()).To(BeEmpty())
					g.Expect(c.maxGap).To(BeNumerically("<", resumeBound))
				})
			})
		}
	}
}

// Guards against a broken relay that looks like the end of the generation: a
// caller that joined by identifier only must receive EventBroken and reconnect.
func TestBrokenRelayRequestsReconnect(t *testing.T) {
	runRelayCase(t, func(g Gomega, h *harness, c *caller) {
		c.sub.Close()
		resume := &generation.ResumeState{Position: c.position, Locator: c.locator}
		sub, _, ok := h.registries[1].Join(h.t.Context(), c.request.ID, resume)
		g.Expect(ok).To(BeTrue())
		c.sub = sub
		c.read(20)
		h.links.sever()
		c.readAll()
		g.Expect(c.broken).To(BeTrue())
		g.Expect(c.connect(1, true)).To(BeTrue())
		c.readAll()
		g.Expect(c.violation()).To(BeEmpty())
	})
}

// Guards against a takeover from a live holder that has no events in a prefill.
func TestRelayWaitsForSlowHolder(t *testing.T) {
	runRelayCase(t, func(g Gomega, h *harness, c *caller) {
		g.Expect(c.connect(1, true)).To(BeTrue())
		c.read(20)
		for _, e := range h.engines {
			e.Pause()
		}
		time.AfterFunc(5*time.Second, func() {
			for _, e := range h.engines {
				e.Unpause()
			}
		})
		c.readAll()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(h.registries[1].ActiveGenerations()).To(BeZero())
	})
}

// scriptedTransport is a transport with a peer that sends the given frames.
type scriptedTransport struct {
	link.Transport
	frames [][]byte
}

func (t *scriptedTransport) HandleStream(link.MessageType, link.StreamHandler) {}

func (t *scriptedTransport) OpenStream(context.Context, contract.InstanceID, link.MessageType, []byte) (link.FrameReader, error) {
	return &scriptedFrames{frames: t.frames}, nil
}

type scriptedFrames struct{ frames [][]byte }

func (f *scriptedFrames) Next(ctx context.Context) ([]byte, error) {
	if len(f.frames) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	frame := f.frames[0]
	f.frames = f.frames[1:]
	return frame, nil
}

func (f *scriptedFrames) Close() {}

// relayFrame encodes an event of a peer.
func relayFrame(kind generation.EventKind, offset int64, digest contract.PrefixDigest, text string) []byte {
	frame := generation.RelayFrame{Event: &generation.Event{
		Kind: kind, Position: contract.Position{Offset: offset, Digest: digest}, Text: text,
	}}
	encoded, err := cbor.Marshal(frame)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Guards against the delivery of a peer's frame that does not continue the
// caller's text.
func FuzzRelayFrame(f *testing.F) {
	start, digest := contract.StartPosition().Digest, contract.DigestOf([]string{"wrong"})
	f.Add(relayFrame(generation.EventStart, 0, start, ""), relayFrame(generation.EventToken, 1, start, "wrong"))
	f.Add(relayFrame(generation.EventStart, 0, start, ""), relayFrame(generation.EventToken, 2, digest, "wrong"))
	f.Add(relayFrame(generation.EventStart, 3, start, ""), []byte{0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, configuration.ResumeSparing, false)
			defer h.close()
			r := generation.NewRegistry(generation.Config{
				Instance: "i", Router: h.router, Dialer: h.router,
				Transport: &scriptedTransport{frames: [][]byte{first, second}},
				Peers:     func() []contract.InstanceID { return []contract.InstanceID{"peer"} },
			})
			h.registries = append(h.registries, r)
			c := h.caller("key")
			c.request.Resume = &generation.ResumeState{Position: c.position}
			var ok bool
			if c.sub, _, ok = r.Open(t.Context(), c.request); !ok {
				return
			}
			defer c.sub.Close()
			c.read(testTokens)
			if c.position.Offset != int64(len(c.texts)) || c.position.Digest != contract.DigestOf(c.texts) {
				t.Fatalf("text %q of the caller does not match position %v", c.texts, c.position)
			}
		})
	})
}
