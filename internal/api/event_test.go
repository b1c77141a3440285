package api

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"unicode/utf8"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// readAll reads a stream to its end or its first error.
func readAll(r io.Reader) ([]Event, error) {
	var events []Event
	for event, err := range ReadEvents(r) {
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
	return events, nil
}

// Guards against a token whose text changes in transit, so that the digests of
// sender and receiver differ.
func TestTokenTextIsUnchangedOrRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		part := rapid.SampledFrom([]string{"\n", "\r", "\r\n", "", ": ", "data:", "\x00", "\ufeff", "\u2028", "<&>", "é", "\xff", "\xc3", "\xed\xa0\x80"})
		text := strings.Join(rapid.SliceOf(part).Draw(t, "parts"), "") + rapid.String().Draw(t, "text")
		after := contract.Position{Offset: 1, Digest: contract.DigestOf([]string{text})}
		var stream bytes.Buffer
		err := WriteEvent(&stream, EventToken, after, TokenEvent{Text: text})
		if !utf8.ValidString(text) {
			g.Expect(err).To(MatchError(ErrInvalidUTF8))
			g.Expect(stream.Len()).To(BeZero())
			return
		}
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(WriteKeepAlive(&stream)).To(Succeed())
		events, err := readAll(&stream)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(events).To(Equal([]Event{{Type: EventToken, Position: after, Token: TokenEvent{Text: text}}}))
	})
}

// Guards against a reader that panics, depends on how the stream is split into
// reads, or accepts an event that changes when it is written and read again.
func FuzzReadEvents(f *testing.F) {
	id := "id: " + contract.StartPosition().String() + "\n"
	for _, seed := range []string{
		"", ":\n\n", "\ufeff" + id, "event: token\n" + id + "data: {\"text\":\"a\"}\n\n",
		"event: start\r\n" + id + "data: {\"request\":{\"workspace\":\"w\",\"key\":\"k\"},\"locator\":\"l\"}\r\n\r\n",
		"event: token\rid: 1-x\rdata: {}\r\r", "event: token\n" + id + "data: {\"te\ndata: xt\":1}\n\n",
		"event: attempt\n" + id + "data: {\"locator\":\"\\ud800\"}\n\n", "event: other\ndata: {}\n\n", "data: {}\n\n",
		"event: end\ndata: {\"outcome\":\"completed\",\"count\":-1,\"retry_after_ms\":9223372036854775807}\n\n",
		"event: end\ndata: null\n\n", "event: end\ndata: " + strings.Repeat("[", 20000) + "\n\n",
		"event: token\n" + id + "data: {\"text\":\"cut", "id: 99999999999999999999-0123456789abcdef\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		g := NewWithT(t)
		events, err := readAll(bytes.NewReader(stream))
		split, splitErr := readAll(iotest.OneByteReader(bytes.NewReader(stream)))
		g.Expect(split).To(Equal(events))
		g.Expect(splitErr == nil).To(Equal(err == nil))
		for _, event := range events {
			payload := map[EventType]any{
				EventStart: event.Start, EventToken: event.Token, EventAttempt: event.Attempt, EventEnd: event.End,
			}[event.Type]
			var rewritten bytes.Buffer
			g.Expect(WriteEvent(&rewritten, event.Type, event.Position, payload)).To(Succeed())
			g.Expect(readAll(&rewritten)).To(Equal([]Event{event}))
		}
	})
}

// Guards against an endless event that exhausts the reader's memory.
func TestOversizedEventIsRejected(t *testing.T) {
	g := NewWithT(t)
	endless := io.MultiReader(strings.NewReader("event: token\ndata: "), endlessText{})
	_, err := readAll(endless)
	g.Expect(err).To(HaveOccurred())
}

type endlessText struct{}

func (endlessText) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a'
	}
	return len(p), nil
}
