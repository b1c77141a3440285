package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a success without the upstream's whole body: a complete stream of comments
// only, and one that is resumed and has comments only.
func TestStreamOfCommentsIsForwarded(t *testing.T) {
	const comments = ": queued\n\n: still queued\n\n"
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a")
		h.setBehaviour(respondWith(http.StatusOK, comments), "a")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusOK))
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(comments))
	})
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		h.setBehaviour(func(receivedRequest) (*http.Response, error) {
			r := response(http.StatusOK, comments)
			if len(h.receivedBy()) == 1 {
				r.Body = io.NopCloser(io.MultiReader(strings.NewReader(": lost\n\n"), errorReader{errReset}))
			}
			return r, nil
		}, "a", "b")
		got := h.request(t.Context(), map[string]string{"Last": "10"})
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(comments))
	})
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		h.resumeWith([]behaviour{respondWith(http.StatusOK, comments)}, "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(eventsText(1, 10) + comments))
		h.g.Expect(got.duration).To(BeNumerically("<", time.Second))
	})
}
