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

// receivedRequest is a request as received by an instance.
type receivedRequest struct {
	at       time.Duration // since the start of the test
	instance string
	Deadline int64 `json:"deadline_ms"`
	Resume   *struct {
		Position string   `json:"position"`
		Locator  string   `json:"locator"`
		Received []string `json:"received"`
	} `json:"resume"`
}

// responder handles the request of one connection.
type responder func(w http.ResponseWriter, r *http.Request)

// harness emulates instances over in-memory connections: the n-th request is
// handled by the n-th responder, whichever instance receives it.
type harness struct {
	*GomegaWithT
	ctx        context.Context
	start      time.Time
	mu         sync.Mutex // guards the fields below
	responders []responder
	requests   []receivedRequest
}

// runWithInstances runs a test with instances a and b in virtual time.
func runWithInstances(t *testing.T, responders []responder, test func(h *harness, c *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{GomegaWithT: NewWithT(t), ctx: t.Context(), start: time.Now(), responders: responders}
		listeners := map[string]*pipeListener{}
		for _, name := range []string{"a:80", "b:80"} {
			l := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
			server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { h.serve(name, rw, r) })}
			listeners[name] = l
			go server.Serve(l)   //nolint:errcheck // ends with Close
			defer server.Close() //nolint:errcheck // nothing is left to flush
		}
		c, err := New([]string{"http://a", "http://b"}, WithDial(func(_ context.Context, _, address string) (net.Conn, error) {
			if h.exhausted() {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			clientEnd, serverEnd := net.Pipe()
			listeners[address].connections <- serverEnd
			return clientEnd, nil
		}))
		h.Expect(err).NotTo(HaveOccurred())
		test(h, c)
		h.Expect(h.exhausted()).To(BeTrue(), "each responder was used")
	})
}

// exhausted reports whether no responder is left; instances then refuse connections.
func (h *harness) exhausted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.responders) == 0
}

func (h *harness) serve(name string, rw http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	got := receivedRequest{at: time.Since(h.start), instance: name}
	_ = json.NewDecoder(r.Body).Decode(&got)
	h.requests = append(h.requests, got)
	next := h.responders[0]
	h.responders = h.responders[1:]
	h.mu.Unlock()
	next(rw, r)
}

func (h *harness) generate(ctx context.Context, c *Client) (GenerationResult, error) {
	return c.Generate(ctx, GenerationRequest{RequestID: request, Service: "guides", Prompt: "p"})
}

// streamTokens sends a start event and the tokens from..to-1, then runs then.
func streamTokens(from, to int, locator string, then ...responder) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = api.WriteEvent(w, api.EventStart, positionAt(from), api.StartEvent{Request: request, Locator: locator})
		for i := from; i < to; i++ {
			_ = api.WriteEvent(w, api.EventToken, positionAt(i+1), api.TokenEvent{Text: text[i]})
		}
		_ = http.NewResponseController(w).Flush()
		for _, end := range then {
			end(w, r)
		}
	}
}

func positionAt(offset int) contract.Position {
	return contract.Position{Offset: int64(offset), Digest: contract.DigestOf(text[:offset])}
}

func streamEnd(event api.EndEvent) responder {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = api.WriteEvent(w, api.EventEnd, contract.Position{}, event)
	}
}

func completedEvent(tokens []string) api.EndEvent {
	digester := contract.NewDigester()
	for _, t := range tokens {
		digester.Add(t)
	}
	return api.EndEvent{Outcome: contract.Completed, TokenCount: digester.Tokens(), SHA256: digester.Checksum()}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func stall(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func refuse(outcome contract.Outcome, reason contract.Reason, retryAfter time.Duration) responder {
	return func(w http.ResponseWriter, _ *http.Request) {
		refused := api.ErrorFromVerdict(contract.Verdict{Outcome: outcome, Reason: reason, RetryAfter: retryAfter}, "refusal message")
		data, _ := refused.Response.MarshalJSON()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(refused.StatusCode)
		_, _ = w.Write(data)
	}
}

// badGateway responds like a load balancer without instances.
func badGateway(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "bad gateway", http.StatusBadGateway)
}

// pipeListener accepts in-memory connections, as required by synctest.
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
