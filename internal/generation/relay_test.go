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

// relayCase runs a caller that reads ten tokens at instance 0 and reconnects at
// instance 1, where the generation is relayed.
func relayCase(t *testing.T, run func(g Gomega, w *world, c *caller)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, configuration.ResumeSparing, false)
		defer w.close()
		c := w.caller("request")
		c.connect(0, false)
		c.read(10)
		run(NewWithT(t), w, c)
		c.sub.Close()
	})
}

func (w *world) totalStarts() int {
	starts := 0
	for _, e := range w.engines {
		starts += len(e.Starts())
	}
	return starts
}

// Guards against a second attempt where the holder is reachable.
func TestRelayReadsFromHolder(t *testing.T) {
	relayCase(t, func(g Gomega, w *world, c *caller) {
		g.Expect(c.connect(1, false)).To(BeTrue())
		c.readAll()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(w.registry[1].Active()).To(BeZero())
		g.Expect(w.totalStarts()).To(Equal(1))
	})
}

// Guards against a lost caller when the link or the holder fails during a
// relay: the relaying instance takes over at the next token, without the
// caller's text where it can read the engine's stream from its beginning.
func TestRelayTakesOver(t *testing.T) {
	faults := map[string]func(w *world){
		"link cut":                  func(w *world) { w.links.sever() },
		"link silent":               func(w *world) { w.links.silence() },
		"holder cut off as well":    func(w *world) { w.links.sever(); w.severed[0].Sever(true) },
		"holder silent and cut off": func(w *world) { w.links.silence(); w.severed[0].Sever(true) },
	}
	for name, fault := range faults {
		for _, received := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				relayCase(t, func(g Gomega, w *world, c *caller) {
					g.Expect(c.connect(1, received)).To(BeTrue())
					c.read(20)
					fault(w)
					c.readAll()
					g.Expect(c.violation()).To(BeEmpty())
					g.Expect(c.maxGap).To(BeNumerically("<", resumeBound))
				})
			})
		}
	}
}

// Guards against a broken relay that looks like an end: a caller that joined by
// identifier only must be told to reconnect.
func TestRelayBrokenTellsCallerToReconnect(t *testing.T) {
	relayCase(t, func(g Gomega, w *world, c *caller) {
		c.sub.Close()
		resume := &generation.Resume{Position: c.position, Locator: c.locator}
		sub, _, ok := w.registry[1].Join(w.t.Context(), c.request.ID, resume)
		g.Expect(ok).To(BeTrue())
		c.sub = sub
		c.read(20)
		w.links.sever()
		c.readAll()
		g.Expect(c.broken).To(BeTrue())
		g.Expect(c.connect(1, true)).To(BeTrue())
		c.readAll()
		g.Expect(c.violation()).To(BeEmpty())
	})
}

// Guards against a prefill that is taken for a silent holder.
func TestRelayWaitsForSlowHolder(t *testing.T) {
	relayCase(t, func(g Gomega, w *world, c *caller) {
		g.Expect(c.connect(1, true)).To(BeTrue())
		c.read(20)
		for _, e := range w.engines {
			e.Pause()
		}
		time.AfterFunc(5*time.Second, func() {
			for _, e := range w.engines {
				e.Unpause()
			}
		})
		c.readAll()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(w.registry[1].Active()).To(BeZero())
	})
}

// frameScript is a transport whose peer sends the given frames.
type frameScript struct {
	link.Transport
	frames [][]byte
}

func (f *frameScript) HandleStream(link.MessageType, link.StreamHandler) {}

func (f *frameScript) Open(context.Context, contract.InstanceID, link.MessageType, []byte) (link.Frames, error) {
	return &scriptedFrames{frames: f.frames}, nil
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

// Guards against a peer's message that does not fit the caller's text: it must
// not reach the caller.
func FuzzRelayFrame(f *testing.F) {
	start, digest := contract.Start().Digest, contract.DigestOf([]string{"wrong"})
	f.Add(relayFrame(generation.EventStart, 0, start, ""), relayFrame(generation.EventToken, 1, start, "wrong"))
	f.Add(relayFrame(generation.EventStart, 0, start, ""), relayFrame(generation.EventToken, 2, digest, "wrong"))
	f.Add(relayFrame(generation.EventStart, 3, start, ""), []byte{0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, configuration.ResumeSparing, false)
			defer w.close()
			r := generation.NewRegistry(generation.Config{
				Instance: "i", Router: w.router, Dialer: w.router,
				Transport: &frameScript{frames: [][]byte{first, second}},
				Peers:     func() []contract.InstanceID { return []contract.InstanceID{"peer"} },
			})
			w.registry = append(w.registry, r)
			c := w.caller("key")
			c.request.Resume = &generation.Resume{Position: c.position}
			var ok bool
			if c.sub, _, ok = r.Open(t.Context(), c.request); !ok {
				return
			}
			defer c.sub.Close()
			c.read(testTokens)
			if c.position.Offset != int64(len(c.texts)) || c.position.Digest != contract.DigestOf(c.texts) {
				t.Fatalf("the caller's text %q does not have position %v", c.texts, c.position)
			}
		})
	})
}
