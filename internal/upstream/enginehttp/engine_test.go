package enginehttp_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
)

// waitTimeout bounds each wait for a condition.
const waitTimeout = 5 * time.Second

var pin = upstream.ModelPin{Model: "fitting", Version: "3"}

// faultyListener closes or silences the open connections.
type faultyListener struct {
	net.Listener
	mu   sync.Mutex // guards open
	open []*faultyConn
}

type faultyConn struct {
	net.Conn
	silent chan struct{}
}

func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	faulty := &faultyConn{Conn: conn, silent: make(chan struct{})}
	l.open = append(l.open, faulty)
	return faulty, nil
}

func (c *faultyConn) Write(data []byte) (int, error) {
	select {
	case <-c.silent:
		return len(data), nil
	default:
		return c.Conn.Write(data)
	}
}

// Close sends nothing on a silent connection, not even a FIN.
func (c *faultyConn) Close() error {
	select {
	case <-c.silent:
		return nil
	default:
		return c.Conn.Close()
	}
}

func (l *faultyListener) take() []*faultyConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.open
	l.open = nil
	return taken
}

func (l *faultyListener) CutConnections() {
	for _, conn := range l.take() {
		_ = conn.Conn.Close()
	}
}

func (l *faultyListener) SilenceConnections() {
	for _, conn := range l.take() {
		close(conn.silent)
	}
}

func (l *faultyListener) Pause(bool) {}

type fixture struct {
	g      *WithT
	ctx    context.Context
	model  *standin.Engine
	engine upstream.Engine
	server *httptest.Server

	address string
}

func newFixture(t *testing.T, config standin.EngineConfig) *fixture {
	g := NewWithT(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := &faultyListener{Listener: plain}
	config.Models = []upstream.ModelPin{pin}
	config.TokenInterval = 2 * time.Millisecond
	config.Connections = listener
	f := &fixture{g: g, address: plain.Addr().String()}
	config.Exit = func(int) {
		_ = plain.Close()
		awaitRefusal(f.address)
		listener.CutConnections()
	}
	f.model = standin.NewEngine(config)
	f.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: f.model}}
	f.server.Start()
	var cancel context.CancelFunc
	f.ctx, cancel = context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(func() {
		cancel()
		f.model.Close()
		f.server.Close()
	})
	f.engine = enginehttp.NewDialer().Engine(upstream.Target{ID: "engine-1", Address: f.address})
	return f
}

// awaitRefusal waits until connections are refused. The kernel's socket stays
// open until the pending Accept has returned from a closed listener, and a
// connection made until then is reset instead of refused.
func awaitRefusal(address string) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

func request(prompt string, maxTokens int64, prefix ...string) upstream.StreamRequest {
	return upstream.StreamRequest{
		Stream:    upstream.StreamID("stream-" + contract.NewKey()),
		Request:   contract.RequestID{Workspace: "peruukipankki", Key: "key-1"},
		Attempt:   1,
		Pin:       pin,
		Prompt:    prompt,
		Prefix:    prefix,
		Sampling:  upstream.Sampling{Seed: 7},
		MaxTokens: maxTokens,
		Priority:  upstream.PriorityInteractive,
	}
}

// read returns the texts of up to limit tokens and whether the end was received.
func (f *fixture) read(stream upstream.Stream, from, limit int64) (texts []string, end bool) {
	for int64(len(texts)) < limit {
		event, err := stream.Next(f.ctx)
		f.g.Expect(err).NotTo(HaveOccurred())
		if event.End {
			f.g.Expect(event.TokenCount).To(Equal(from + int64(len(texts))))
			return texts, true
		}
		f.g.Expect(event.Token.Offset).To(Equal(from + int64(len(texts))))
		texts = append(texts, event.Token.Text)
	}
	return texts, false
}

// Guards against lost, duplicated or delayed events on an undisturbed stream, and
// against a text that cannot be verified.
func TestStreamDeliversWholeText(t *testing.T) {
	f := newFixture(t, standin.EngineConfig{})
	stream, err := f.engine.Start(f.ctx, request("a long note len=40", 1000))
	f.g.Expect(err).NotTo(HaveOccurred())
	defer stream.Close()
	f.g.Expect(stream.Incarnation()).To(Equal(f.model.Incarnation()))
	texts, end := f.read(stream, 0, 1000)
	f.g.Expect(end).To(BeTrue())
	f.g.Expect(texts).To(HaveLen(40))
	f.g.Expect(standin.VerifyText("a long note len=40", 7, texts)).To(Succeed())
	texts[20], texts[21] = texts[21], texts[20]
	f.g.Expect(standin.VerifyText("a long note len=40", 7, texts)).To(MatchError(ContainSubstring("token 20 ")))
}

// Guards against an event that is buffered until the next one arrives: a slow
// stream would look silent.
func TestEventIsDeliveredWithoutTheNextOne(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "event: token\ndata: {\"stream\":\"s\",\"offset\":0,\"text\":\"a\"}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	engine := enginehttp.NewDialer().Engine(upstream.Target{Address: server.Listener.Addr().String()})
	stream, err := engine.Start(ctx, upstream.StreamRequest{Stream: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	defer stream.Close()
	event, err := stream.Next(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(event.Token.Text).To(Equal("a"))
}

// Guards against the delivery of another request's event.
func TestEventOfAnotherRequestEndsTheStream(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "event: token\ndata: {\"stream\":\"s\",\"request\":{\"workspace\":\"b\",\"key\":\"k\"},\"offset\":0,\"text\":\"a\"}\n\n")
	}))
	defer server.Close()
	engine := enginehttp.NewDialer().Engine(upstream.Target{Address: server.Listener.Addr().String()})
	stream, err := engine.Start(t.Context(), upstream.StreamRequest{
		Stream: "s", Request: contract.RequestID{Workspace: "a", Key: "k"},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer stream.Close()
	_, err = stream.Next(t.Context())
	g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
}

// Guards against a lost connection that is treated as a crash of the engine: the
// stream must be resumable without a lost or duplicated token.
func TestResumeAfterLostConnection(t *testing.T) {
	for _, fault := range []standin.Fault{{Cut: true}, {Silence: true}} {
		f := newFixture(t, standin.EngineConfig{})
		streamRequest := request("note len=100", 1000)
		stream, err := f.engine.Start(f.ctx, streamRequest)
		f.g.Expect(err).NotTo(HaveOccurred())
		texts, _ := f.read(stream, 0, 10)
		f.model.Faults().Set(fault)
		if fault.Cut {
			for err == nil {
				_, err = stream.Next(f.ctx)
			}
			f.g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
		} else {
			pollCtx, cancel := context.WithTimeout(f.ctx, 300*time.Millisecond)
			for err == nil {
				_, err = stream.Next(pollCtx)
			}
			cancel()
			f.g.Expect(err).To(MatchError(context.DeadlineExceeded))
		}
		stream.Close()
		resumed, err := f.engine.Resume(f.ctx, streamRequest.Stream, contract.Position{Offset: 10, Digest: contract.DigestOf(texts)})
		f.g.Expect(err).NotTo(HaveOccurred())
		rest, end := f.read(resumed, 10, 1000)
		resumed.Close()
		f.g.Expect(end).To(BeTrue())
		f.g.Expect(standin.VerifyText("note len=100", 7, append(texts, rest...))).To(Succeed())
		f.g.Expect(f.model.Counters().TokensGenerated).To(BeEquivalentTo(100))
	}
}

// Guards against the concatenation of two texts by the engine and against a wrong
// mapping of responses to errors.
func TestResponsesAreMappedToErrors(t *testing.T) {
	f := newFixture(t, standin.EngineConfig{})
	streamRequest := request("note len=30", 1000)
	stream, err := f.engine.Start(f.ctx, streamRequest)
	f.g.Expect(err).NotTo(HaveOccurred())
	texts, _ := f.read(stream, 0, 5)
	other := contract.Position{Offset: 5, Digest: contract.DigestOf([]string{"another text"})}
	_, err = f.engine.Resume(f.ctx, streamRequest.Stream, other)
	f.g.Expect(err).To(MatchError(upstream.ErrPrefixMismatch))
	pastEnd := contract.Position{Offset: 31, Digest: contract.DigestOf(texts)}
	_, err = f.engine.Resume(f.ctx, streamRequest.Stream, pastEnd)
	f.g.Expect(err).To(MatchError(upstream.ErrPrefixMismatch))
	_, err = f.engine.Resume(f.ctx, "no-such-stream", contract.StartPosition())
	f.g.Expect(err).To(MatchError(upstream.ErrStreamNotFound))
	f.g.Expect(f.engine.Cancel(f.ctx, "no-such-stream")).To(MatchError(upstream.ErrStreamNotFound))

	otherVersion := request("note", 10)
	otherVersion.Pin.Version = "4"
	_, err = f.engine.Start(f.ctx, otherVersion)
	f.g.Expect(err).To(MatchError(upstream.ErrRefused))
	f.g.Expect(upstream.IncarnationOf(err)).To(Equal(f.model.Incarnation()))

	f.model.Faults().Set(standin.Fault{Leaving: true})
	_, err = f.engine.Start(f.ctx, request("note", 10))
	f.g.Expect(err).To(MatchError(upstream.ErrLeaving))
	report, err := f.engine.Load(f.ctx)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(report.Leaving).To(BeTrue())
	f.g.Expect(report.Models).To(ConsistOf(pin))
	rest, end := f.read(stream, 5, 1000)
	f.g.Expect(end).To(BeTrue(), "a leaving engine finishes its running streams")
	f.g.Expect(rest).To(HaveLen(25))

	f.model.Faults().Set(standin.Fault{Refuse: true})
	_, err = f.engine.Load(f.ctx)
	f.g.Expect(err).To(MatchError(upstream.ErrRefused))
}

// Guards against a continuation that differs from the accepted tokens or
// recomputes tokens that a healthy engine has cached.
func TestPrefixIsContinued(t *testing.T) {
	f := newFixture(t, standin.EngineConfig{})
	first, err := f.engine.Start(f.ctx, request("note len=60", 1000))
	f.g.Expect(err).NotTo(HaveOccurred())
	texts, _ := f.read(first, 0, 60)
	sampledRequest := request("note len=60", 1000, texts[:20]...)
	sampledRequest.Sampling.Temperature = 0.8
	second, err := f.engine.Start(f.ctx, sampledRequest)
	f.g.Expect(err).NotTo(HaveOccurred())
	rest, end := f.read(second, 20, 1000)
	f.g.Expect(end).To(BeTrue())
	f.g.Expect(rest).NotTo(Equal(texts[20:]), "at a temperature above 0 another run generates a different text")
	f.g.Expect(standin.VerifyText("note len=60", 7, append(texts[:20:20], rest...))).To(Succeed())
	mixedTexts := append(append(texts[:20:20], rest[:20]...), texts[40:]...)
	f.g.Expect(standin.VerifyText("note len=60", 7, mixedTexts)).To(MatchError(ContainSubstring("token 40 ")))
}

// Guards against slots that are not released and against a queue without
// priorities.
func TestSlotsQueueAndCancel(t *testing.T) {
	f := newFixture(t, standin.EngineConfig{Slots: 1})
	long := request("long", 1_000_000)
	running, err := f.engine.Start(f.ctx, long)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.read(running, 0, 1)
	batch := request("batch", 3)
	batch.Priority = upstream.PriorityBatch
	batchStream, err := f.engine.Start(f.ctx, batch)
	f.g.Expect(err).NotTo(HaveOccurred())
	urgent := request("resumed", 3)
	urgent.Priority = upstream.PriorityResumed
	resumedStream, err := f.engine.Start(f.ctx, urgent)
	f.g.Expect(err).NotTo(HaveOccurred())
	report, err := f.engine.Load(f.ctx)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(report.Running).To(Equal(1))
	f.g.Expect(report.Queued).To(Equal(2))
	f.g.Expect(f.engine.Cancel(f.ctx, long.Stream)).To(Succeed())
	_, err = f.engine.Resume(f.ctx, long.Stream, contract.StartPosition())
	f.g.Expect(err).To(MatchError(upstream.ErrStreamNotFound))
	_, end := f.read(resumedStream, 0, 10)
	f.g.Expect(end).To(BeTrue())
	_, end = f.read(batchStream, 0, 10)
	f.g.Expect(end).To(BeTrue())
	f.g.Expect(f.model.Counters().StreamsCancelled).To(BeEquivalentTo(1))
}

// Guards against a crash that is reported as anything but a lost connection
// followed by an unreachable engine.
func TestCrashOnPrompt(t *testing.T) {
	f := newFixture(t, standin.EngineConfig{})
	f.model.Faults().Set(standin.Fault{ExitOnPrompt: "poison"})
	harmless, err := f.engine.Start(f.ctx, request("innocent", 1_000_000))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.read(harmless, 0, 1)
	poison, err := f.engine.Start(f.ctx, request("poison", 10))
	if err == nil { // the engine may crash before its response begins
		_, err = poison.Next(f.ctx)
	}
	f.g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
	for err = nil; err == nil; {
		_, err = harmless.Next(f.ctx)
	}
	f.g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
	_, err = f.engine.Load(f.ctx)
	f.g.Expect(err).To(MatchError(upstream.ErrUnreachable))
}

// Guards against a paused engine that keeps generating, responds, or loses its
// streams.
func TestPause(t *testing.T) {
	f := newFixture(t, standin.EngineConfig{})
	stream, err := f.engine.Start(f.ctx, request("note len=100", 1000))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.read(stream, 0, 3)
	f.model.Faults().Set(standin.Fault{Pause: true})
	pollCtx, cancel := context.WithTimeout(f.ctx, 200*time.Millisecond)
	defer cancel()
	_, err = f.engine.Load(pollCtx)
	f.g.Expect(err).To(MatchError(context.DeadlineExceeded))
	f.model.Faults().Set(standin.Fault{})
	_, end := f.read(stream, 3, 1000)
	f.g.Expect(end).To(BeTrue())
}
