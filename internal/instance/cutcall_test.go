package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/servicehttp"
)

// addressRouter places each call on a server at an address.
type addressRouter struct {
	callServer
	address string
}

func (r *addressRouter) Place(upstream.Requirements) (upstream.Placement, time.Duration, bool) {
	return upstream.Placement{Target: upstream.Target{ID: "s0", Address: r.address}, Done: func(upstream.Observation) {}}, 0, true
}

// callCut calls a service whose server writes a response and ends, and returns what the caller gets.
func callCut(t *testing.T, response string) (*oas.CallResult, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_ = listener.Close()
		_, _ = io.WriteString(conn, response)
	}()
	h := newTestHandler(true, false)
	services := servicehttp.New(servicehttp.Config{})
	defer services.Close()
	h.dispatcher = dispatch.NewDispatcher(dispatch.Config{
		Configuration: h.source, Router: &addressRouter{address: listener.Addr().String()}, Services: services, Table: platformtest.NewTableService(),
	})
	return h.Call(t.Context(), &oas.CallRequest{}, oas.CallParams{Workspace: "shop-a", Service: "stock", IdempotencyKey: oas.Key(contract.NewKey())})
}

// Guards against a caller that gets a part of a service's response as completed, or is told that its call was not run.
func TestCallWithCutResponseIsUnknown(t *testing.T) {
	const body = "reserved: wig 12 of 1200"
	for name, response := range map[string]string{
		"length":    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":    fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nSize: 24\r\n\r\n", len(body), body),
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(response) {
				g := NewWithT(t)
				result, err := callCut(t, response[:cut])
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(result.Outcome).To(Equal(oas.OutcomeUnknown), "cut after %d bytes", cut)
				g.Expect(result.Body.Set).To(BeFalse())
			}
		})
	}
}
