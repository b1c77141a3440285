package emulator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against unframed responses that have a length or chunks, or that end elsewhere than they should.
func TestUnframedResponsesEndWithTheirConnection(t *testing.T) {
	inside := EventText([]byte("prompt"), eventsBeforeStall+1)
	for kind, expected := range map[string]struct {
		events int
		tail   string // after the last whole event
		reset  bool
	}{
		UnframedWhole: {events: 20},
		UnframedCut:   {events: eventsBeforeStall, tail: inside[:len(inside)/2]},
		UnframedReset: {reset: true},
	} {
		t.Run(kind, func(t *testing.T) {
			g := NewWithT(t)
			s := newTestServer()
			server := httptest.NewServer(s)
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			g.Expect(SetFault(context.Background(), http.DefaultClient, address, ServerFault{Unframed: kind})).To(Succeed())
			request := streamRequest(t.Context(), "prompt", 20)
			request.RequestURI, request.URL.Scheme, request.URL.Host = "", "http", address
			response, err := http.DefaultClient.Do(request)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			g.Expect(response.ContentLength).To(BeEquivalentTo(-1))
			g.Expect(response.TransferEncoding).To(BeEmpty())
			body, err := io.ReadAll(response.Body)
			if expected.reset {
				g.Expect(err).To(MatchError(syscall.ECONNRESET))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(strings.Count(string(body), "\n\n")).To(Equal(expected.events))
			g.Expect(string(body)).To(HaveSuffix("\n\n" + expected.tail))
		})
	}
}
