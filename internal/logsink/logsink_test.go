package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"unicode/utf8"

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

// Guards against a log line without a bound, such as one that quotes a value of another writer.
func TestLongLineIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		s := New(&out, 10)
		long := []byte(strings.Repeat("é", 40_000) + "\n")
		n, err := s.Write(long)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len(long)))
		_, _ = s.Write([]byte("next\n"))
		s.Close()
		lines := strings.Split(out.String(), "\n")
		g.Expect(lines).To(HaveLen(3))
		g.Expect(len(lines[0])).To(And(BeNumerically("<=", maxLineBytes+len(cutMark)), BeNumerically(">=", maxLineBytes/2)))
		g.Expect(utf8.ValidString(lines[0])).To(BeTrue())
		g.Expect(lines[1]).To(Equal("next"))
	})
}
