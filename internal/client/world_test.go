package client

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/contract"
)

var (
	request = contract.RequestID{Workspace: "shop-a", Key: "key-1"}
	text    = []string{"A", "", "line\nbreak", " é", "\r", "end"}
)

// received is what an instance got.
type received struct {
	at       time.Duration // since the start of the test
	instance string
	Deadline int64 `json:"deadline_ms"`
	Resume   *struct {
		Position string   `json:"position"`
		Locator  string   `json:"locator"`
		Received []string `json:"received"`
	} `json:"resume"`
}

// answer is how an instance answers one connection.
type answer func(w http.ResponseWriter, r *http.Request)

// world plays instances over in-memory connections: the n-th request is
// answered by the n-th answer, whichever instance it reaches.
type world struct {
	*GomegaWithT
	ctx      context.Context
	start    time.Time
	mu       sync.Mutex // guards the fields below
	answers  []answer
	requests []received
}

// run runs a test with instances a and b in virtual time.
func run(t *testing.T, answers []answer, test func(w *world, c *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{GomegaWithT: NewWithT(t), ctx: t.Context(), start: time.Now(), answers: answers}
		listeners := map[string]*pipeListener{}
		for _, name := range []string{"a:80", "b:80"} {
			l := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
			server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(name, rw, r) })}
			listeners[name] = l
			go server.Serve(l)   //nolint:errcheck // ends with Close
			defer server.Close() //nolint:errcheck // nothing is left to flush
		}
		c, err := New([]string{"http://a", "http://b"}, WithDial(func(_ context.Context, _, address string) (net.Conn, error) {
			if w.done() {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			near, far := net.Pipe()
			listeners[address].connections <- far
			return near, nil
		}))
		w.Expect(err).NotTo(HaveOccurred())
		test(w, c)
		w.Expect(w.done()).To(BeTrue(), "each answer was asked for")
	})
}

// done reports whether no answer is left: both instances are gone.
func (w *world) done() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.answers) == 0
}

func (w *world) serve(name string, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	got := received{at: time.Since(w.start), instance: name}
	_ = json.NewDecoder(r.Body).Decode(&got)
	w.requests = append(w.requests, got)
	next := w.answers[0]
	w.answers = w.answers[1:]
	w.mu.Unlock()
	next(rw, r)
}

func (w *world) generate(ctx context.Context, c *Client) (GenerationResult, error) {
	return c.Generate(ctx, Generation{Request: request, Service: "guides", Prompt: "p"})
}

// part streams the tokens from..to-1 and the locator, then runs the ends.
func part(from, to int, locator string, ends ...answer) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = api.WriteEvent(w, api.EventStart, positionAt(from), api.StartEvent{Request: request, Locator: locator})
		for i := from; i < to; i++ {
			_ = api.WriteEvent(w, api.EventToken, positionAt(i+1), api.TokenEvent{Text: text[i]})
		}
		_ = http.NewResponseController(w).Flush()
		for _, end := range ends {
			end(w, r)
		}
	}
}

func positionAt(offset int) contract.Position {
	return contract.Position{Offset: int64(offset), Digest: contract.DigestOf(text[:offset])}
}

func end(event api.EndEvent) answer {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = api.WriteEvent(w, api.EventEnd, contract.Position{}, event)
	}
}

func completed(tokens []string) api.EndEvent {
	digester := contract.NewDigester()
	for _, t := range tokens {
		digester.Add(t)
	}
	return api.EndEvent{Outcome: contract.Completed, Count: digester.Tokens(), SHA256: digester.Checksum()}
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func refusal(outcome contract.Outcome, reason contract.Reason, retryAfter time.Duration) answer {
	return func(w http.ResponseWriter, _ *http.Request) {
		refused := api.VerdictError(contract.Verdict{Outcome: outcome, Reason: reason, RetryAfter: retryAfter}, "said why")
		data, _ := refused.Response.MarshalJSON()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(refused.StatusCode)
		_, _ = w.Write(data)
	}
}

// badGateway is what a balancer answers without an instance.
func badGateway(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "bad gateway", http.StatusBadGateway)
}

// pipeListener accepts in-memory connections, which virtual time needs.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
