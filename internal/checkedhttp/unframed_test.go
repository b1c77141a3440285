package checkedhttp

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against needless requests to upstreams after responses whose end is known.
func TestOnlyUnframedResponsesEndWithConnection(t *testing.T) {
	for name, test := range map[string]struct {
		method, head string
		unframed     bool
	}{
		"no length":           {method: http.MethodGet, head: "200 OK\r\n", unframed: true},
		"no length, closing":  {method: http.MethodGet, head: "200 OK\r\nConnection: close\r\n", unframed: true},
		"length":              {method: http.MethodGet, head: "200 OK\r\nConnection: close\r\nContent-Length: 3\r\n"},
		"chunks":              {method: http.MethodGet, head: "200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n"},
		"response to HEAD":    {method: http.MethodHead, head: "200 OK\r\nConnection: close\r\n"},
		"status without body": {method: http.MethodGet, head: "204 No Content\r\nConnection: close\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+test.head+"\r\n")), &http.Request{Method: test.method})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(EndsWithConnection(r)).To(Equal(test.unframed))
		})
	}
}
