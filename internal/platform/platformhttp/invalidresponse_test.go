package platformhttp_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/platform/platformhttp"
)

// Guards against a response that is not valid HTTP and that is taken as a row, as its absence, or as a
// write without an effect.
func TestInvalidResponseIsAnError(t *testing.T) {
	for name, response := range map[string]string{
		"status":          "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}",
		"field name":      "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}",
		"not found":       "HTTP/1.1 404 Not Found\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}",
		"without effect":  "HTTP/1.1 503 Busy\r\nX Y: 1\r\n" + platformhttp.EffectHeader + ": " + platformhttp.EffectNone + "\r\nContent-Length: 2\r\n\r\n{}",
		"length and more": "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := platformhttp.NewTableService(platformhttp.Config{Address: "http://" + serveBytes(t, response, ""), Timeout: 10 * time.Second})
			_, err := table.Read(t.Context(), "key")
			g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue(), "%v", err)
			_, err = table.Commit(t.Context(), insert("key", "value"))
			g.Expect(errors.Is(err, platform.ErrUncertain)).To(BeTrue(), "%v", err)
		})
	}
}
