package client

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// streamEvents returns the full stream, one string per event.
func streamEvents() []string {
	var all []string
	add := func(kind api.EventType, position contract.Position, payload any) {
		var b bytes.Buffer
		_ = api.WriteEvent(&b, kind, position, payload)
		all = append(all, b.String())
	}
	add(api.EventStart, contract.StartPosition(), api.StartEvent{Request: request, Locator: "l"})
	for i, t := range text {
		add(api.EventToken, positionAt(i+1), api.TokenEvent{Text: t})
	}
	add(api.EventEnd, contract.Position{}, completedEvent(text))
	return all
}

// Guards against a corrupt stream that is reported as complete: events dropped,
// repeated, reordered or taken from another text, bytes changed or truncated.
func TestDamagedStreamIsNeverCompleted(t *testing.T) {
	correct := streamEvents()
	foreign := strings.Replace(correct[2], `"text":""`, `"text":"x"`, 1)
	finished := 0
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		r := &generationRun{generation: GenerationRequest{RequestID: request}, digester: contract.NewDigester()}
		for range rapid.IntRange(1, 4).Draw(t, "connections") {
			stream := slices.Clone(correct)
			for range rapid.IntRange(0, 3).Draw(t, "mutations") {
				i := rapid.IntRange(0, len(stream)-1).Draw(t, "event")
				j := rapid.IntRange(0, len(stream)-1).Draw(t, "other")
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					stream = slices.Concat(stream[:i], stream[i+1:], []string{":\n\n"})
				case 1:
					stream = slices.Insert(stream, i, stream[j])
				case 2:
					stream[i], stream[j] = stream[j], stream[i]
				case 3:
					stream[i] = foreign
				case 4:
					b := []byte(stream[i])
					if len(b) == 0 {
						continue // cut before
					}
					b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] = rapid.Byte().Draw(t, "value")
					stream[i] = string(b)
				case 5:
					stream[i] = stream[i][:rapid.IntRange(0, len(stream[i])).Draw(t, "cut")]
				}
			}
			r.startReceived = false
			err := r.readStream(strings.NewReader(strings.Join(stream, "")))
			g.Expect(slices.Equal(r.result.Tokens, text[:len(r.result.Tokens)])).To(BeTrue(), "delivered %q", r.result.Tokens)
			if r.finished {
				finished++
				g.Expect(err).NotTo(HaveOccurred())
				if r.result.Verdict.Outcome == contract.Completed {
					g.Expect(r.result.Tokens).To(Equal(text))
				}
				return
			}
			g.Expect(r.result.Verdict.Outcome).NotTo(Equal(contract.Completed))
			if err != nil && r.digester.Tokens() > 0 {
				return // a stream from offset 0 cannot continue a text
			}
		}
	})
	NewWithT(t).Expect(finished).To(BeNumerically(">", 0), "undamaged streams are completed")
}
