package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against requests that block on a slow log output, and against lines that
// are dropped without a report.
func TestOutputThatBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &blockedWriter{release: make(chan struct{})}
		s := New(out, 1_000_000)
		for i := range queueCapacity + 100 {
			n, err := fmt.Fprintf(s, "line %d\n", i)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(BeNumerically(">", 0))
		}
		close(out.release)
		s.Close()
		g.Expect(out.String()).To(ContainSubstring("line 0\n"))
		g.Expect(out.String()).To(ContainSubstring("log lines dropped"))
	})
}

// Guards against a log rate above the configured limit.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		s := New(&out, 10)
		for range 100 {
			_, _ = s.Write([]byte("line\n"))
		}
		s.Close()
		g.Expect(strings.Count(out.String(), "line\n")).To(Equal(20))
		g.Expect(out.String()).To(ContainSubstring("lines=80"))
	})
}
