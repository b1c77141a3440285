package contract_test

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
)

func TestContract(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "contract")
}

var _ = Describe("request guarantees", func() {
	// Guards against a wrong age of a key: a call with an old key could then run
	// again after its record was deleted.
	It("reads the creation time of idempotency keys", func() {
		before := time.Now().Add(-time.Second)
		created, err := contract.KeyCreationTime(contract.NewKey())
		Expect(err).NotTo(HaveOccurred())
		Expect(created).To(BeTemporally("~", before.Add(time.Second), time.Second))

		created, err = contract.KeyCreationTime("1796353728057-demo")
		Expect(err).NotTo(HaveOccurred())
		Expect(created).To(Equal(time.UnixMilli(1796353728057)))

		for _, key := range []string{"", "demo", "179635372805-short", "1796353728057", "1796353728057-", "6ba7b810-9dad-11d1-80b4-00c04fd430c8"} {
			_, err := contract.KeyCreationTime(key)
			Expect(err).To(MatchError(contract.ErrKeyNoTime), key)
		}
	})

	// Guards against keys that would break paths of the table service or headers.
	It("refuses keys that would break paths or headers", func() {
		Expect(contract.CheckKey("a.b_c:d-9")).To(Succeed())
		for _, key := range []string{"", "a/b", "a b", "a\nb", strings.Repeat("x", 129)} {
			Expect(contract.CheckKey(key)).To(MatchError(contract.ErrKeyInvalid), key)
		}
	})

	// Guards against a digest that depends on how the text is split into tokens, and
	// against one that a caller cannot compute with plain SHA-256.
	It("digests the text independently of its split into tokens", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			g := NewWithT(r)
			texts := rapid.SliceOf(rapid.String()).Draw(r, "texts")
			sum := sha256.Sum256([]byte(strings.Join(texts, "")))
			digester := contract.NewDigester()
			for _, text := range texts {
				digester.Add(text)
			}
			g.Expect(digester.Tokens()).To(Equal(int64(len(texts))))
			g.Expect(digester.Checksum()).To(Equal(hex.EncodeToString(sum[:])))
			g.Expect(digester.Checksum()).To(HavePrefix(string(contract.DigestOf(texts))))
		})
	})

	// Guards against positions that change when they are encoded and parsed, and
	// against malformed positions that are accepted.
	It("parses the text of a position to an equal position", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			g := NewWithT(r)
			position := contract.Position{
				Offset: rapid.Int64Min(0).Draw(r, "offset"), Digest: contract.DigestOf([]string{rapid.String().Draw(r, "text")}),
			}
			parsed, err := contract.ParsePosition(position.String())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(parsed).To(Equal(position))
		})
		for _, s := range []string{"", "1", "1-", "-1-e3b0c44298fc1c14", "x-e3b0c44298fc1c14", "1-e3b0c44298fc1c1", "1-e3b0c44298fc1c1z", "1-e3b0c44298fc1c144"} {
			_, err := contract.ParsePosition(s)
			Expect(err).To(MatchError(contract.ErrPositionInvalid), s)
		}
	})

	// Guards against a broken invariant that does not panic, and against a panic
	// without the state.
	It("panics with the state on a broken invariant", func() {
		Expect(func() { contract.Invariant(true, "fine") }).NotTo(Panic())
		Expect(func() { contract.Invariant(false, "offset is wrong", "offset", 3, "expected", 2) }).To(PanicWith(
			contract.InvariantViolation{Message: "offset is wrong", State: "offset=3 expected=2"}))
	})
})
