package generation_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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
		"holder cut off as well":    func(w *world) { w.links.sever(); w.severed[0].off.Store(true) },
		"holder silent and cut off": func(w *world) { w.links.silence(); w.severed[0].off.Store(true) },
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

// Guards against a peer's message that does not fit the caller's text: it must
// not reach the caller.
func FuzzRelayFrame(f *testing.F) {
	f.Add([]byte{0xa0}, []byte{0xff})
	f.Add([]byte("\xa1\x01\xa2\x01\x65token\x02\xa2\x01\x01\x02\x60"), []byte{})
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
			request := w.request("key")
			request.Resume = &generation.Resume{Position: contract.Start()}
			sub, _, ok := r.Open(t.Context(), request)
			if !ok {
				return
			}
			defer sub.Close()
			c := &caller{w: w, request: request, sub: sub, position: contract.Start()}
			c.read(testTokens)
			for i, text := range c.texts {
				if contract.DigestOf(c.texts[:i+1]) != c.position.Digest && i+1 == len(c.texts) {
					t.Fatalf("token %q does not fit its position", text)
				}
			}
		})
	})
}
