package checkedhttp

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/rawserver"
)

// serveRaw returns the address of a server that lets a function handle each connection.
func serveRaw(t *testing.T, handle func(conn *net.TCPConn)) string {
	listener, err := rawserver.Listen(rawserver.Loopback, handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// get sends a request and returns the whole body of its response.
func get(t *testing.T, transport http.RoundTripper, address string) (string, error) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// transports returns a transport with kept connections and one without.
func transports() map[string]*Transport {
	return map[string]*Transport{"kept": New(&http.Transport{}), "not kept": New(&http.Transport{DisableKeepAlives: true})}
}

const (
	interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	valid   = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nwhole"
)

// Guards against a client that acts on a response that is not valid HTTP, and against the loss of a
// valid one.
func TestInvalidResponses(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		valid    bool
	}{
		"length":             {valid, true},
		"length after a 103": {interim + valid, true},
		"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n", true},
		"no length":          {"HTTP/1.1 200 OK\r\n\r\nwhole", true},
		"HTTP/1.0":           {"HTTP/1.0 200 OK\r\nX-A: Transfer-Encoding: chunked\r\n\r\nwhole", true},
		"HTTP/1.0, chunks":   {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", false},
		"error status":       {strings.Replace(valid, "200", "599", 1), true},
		"status 000":         {strings.Replace(valid, "200", "000", 1), false},
		"status 099":         {strings.Replace(valid, "200", "099", 1), false},
		"status 101":         {strings.Replace(valid, "200", "101", 1), false},
		"status 600":         {strings.Replace(valid, "200", "600", 1), false},
		"status +20":         {strings.Replace(valid, "200", "+20", 1), false},
		"000 after a 103":    {interim + strings.Replace(valid, "200", "000", 1), false},
		"blank in a name":    {strings.Replace(valid, "X-A", "X A", 1), false},
		"blank after a name": {strings.Replace(valid, "Content-Length", "Content-Length ", 1), false},
	} {
		for kind, transport := range transports() {
			t.Run(name+", "+kind, func(t *testing.T) {
				g := NewWithT(t)
				defer transport.CloseIdleConnections()
				address := serveRaw(t, rawserver.Respond(test.response, ""))
				body, err := get(t, transport, address)
				if !test.valid {
					g.Expect(err).To(MatchError(ErrInvalidResponse))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("whole"))
			})
		}
	}
}
