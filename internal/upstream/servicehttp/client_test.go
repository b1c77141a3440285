package servicehttp_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/servicehttp"
)

func target(address string) upstream.Target {
	return upstream.Target{ID: "s0", Address: strings.TrimPrefix(address, "http://")}
}

func call(key string) upstream.CallRequest {
	return upstream.CallRequest{
		Request: contract.RequestID{Workspace: "clinic", Key: key},
		Method:  http.MethodPost,
		Path:    "/book?x=1",
		Body:    []byte("{}"),
	}
}

// dropOnReuseServer executes each POST but responds only to the first request on
// a connection; it executes further ones and closes the connection without a
// response.
type dropOnReuseServer struct{ executions atomic.Int64 }

type requestCountKey struct{}

func (c *dropOnReuseServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodPost {
		c.executions.Add(1)
	}
	if r.Context().Value(requestCountKey{}).(*atomic.Int64).Add(1) > 1 {
		panic(http.ErrAbortHandler)
	}
}

func (c *dropOnReuseServer) start(t *testing.T) string {
	server := httptest.NewUnstartedServer(c)
	server.Config.ErrorLog = nil
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, requestCountKey{}, &atomic.Int64{})
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against http.Transport, which resends a POST with an Idempotency-Key
// when a reused connection breaks: the call would run twice. The plain client
// shows the fault with the same server.
func TestCallOnceIsNotResent(t *testing.T) {
	for _, body := range [][]byte{[]byte("{}"), nil} {
		g := NewWithT(t)
		plain := &dropOnReuseServer{}
		address := plain.start(t)
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		httpClient := &http.Client{Transport: transport}
		response, err := httpClient.Get(address) // leaves an idle connection to reuse
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		request, err := http.NewRequest(http.MethodPost, address, bytes.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Idempotency-Key", "k")
		response, err = httpClient.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		g.Expect(plain.executions.Load()).To(BeEquivalentTo(2), "the plain client must show the fault")

		adapted := &dropOnReuseServer{}
		dialer := servicehttp.New(servicehttp.Config{})
		defer dialer.Close()
		c := dialer.Service(target(adapted.start(t)))
		query := call("q")
		query.Method = http.MethodGet
		_, err = c.CallIdempotent(context.Background(), query)
		g.Expect(err).NotTo(HaveOccurred())
		for i := range 3 {
			once := call("k")
			once.Body = body
			_, err = c.CallOnce(context.Background(), once)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(adapted.executions.Load()).To(BeEquivalentTo(i + 1))
		}
	}
}

// Guards against errors that claim that a call did not run when it may have run,
// or hide that it did not run.
func TestErrors(t *testing.T) {
	cases := map[string]struct {
		handler  http.HandlerFunc
		expected error
	}{
		"leaving": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Foxtailhub-Upstream-State", "leaving")
			w.WriteHeader(503)
		}, upstream.ErrLeaving},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Foxtailhub-Upstream-State", "refused")
			w.WriteHeader(503)
		}, upstream.ErrRefused},
		"closed without response": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, upstream.ErrConnectionLost},
		"closed during the response": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
		}, upstream.ErrConnectionLost},
		"too large": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, servicehttp.MaxResponseBytes+1))
		}, servicehttp.ErrResponseTooLarge},
		"deadline": {func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects the end of a connection only after that
			<-r.Context().Done()
		}, context.DeadlineExceeded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			dialer := servicehttp.New(servicehttp.Config{})
			defer dialer.Close()
			client := dialer.Service(target(server.URL))
			for _, send := range []func(context.Context, upstream.CallRequest) (upstream.CallResponse, error){client.CallOnce, client.CallIdempotent} {
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				_, err := send(ctx, call("k"))
				cancel()
				g.Expect(err).To(MatchError(c.expected))
				g.Expect(err).NotTo(MatchError(upstream.ErrUnreachable))
			}
		})
	}
}

// Guards against ErrUnreachable for a call that was sent, and against its absence
// when no connection was made.
func TestUnreachable(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	client := servicehttp.New(servicehttp.Config{}).Service(target(address))
	_, err = client.CallOnce(context.Background(), call("k"))
	g.Expect(err).To(MatchError(upstream.ErrUnreachable))
	_, err = client.CallIdempotent(context.Background(), call("k"))
	g.Expect(err).To(MatchError(upstream.ErrUnreachable))
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client = servicehttp.New(servicehttp.Config{Dial: silent, DialTimeout: time.Millisecond}).Service(target(address))
	_, err = client.CallOnce(context.Background(), call("k"))
	g.Expect(err).To(MatchError(upstream.ErrUnreachable))
}

// Guards against responses that are changed on the way: the status, the body, a
// redirect that is followed, a key that is not passed on.
func TestResponseIsPassedUnchanged(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/x")
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusTemporaryRedirect)
		_, _ = w.Write([]byte(r.Header.Get("Idempotency-Key") + " " + r.URL.String() + " " + string(body)))
	}))
	defer server.Close()
	dialer := servicehttp.New(servicehttp.Config{})
	defer dialer.Close()
	response, err := dialer.Service(target(server.URL)).CallOnce(context.Background(), call("k1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Status).To(Equal(http.StatusTemporaryRedirect))
	g.Expect(response.ContentType).To(Equal("text/x"))
	g.Expect(string(response.Body)).To(Equal("k1 /book?x=1 {}"))
}
