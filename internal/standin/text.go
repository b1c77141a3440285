package standin

import (
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// wordDigits is the number of base 36 digits of the hash in a word (about 41
// bits).
const wordDigits = 8

// nonceSeparator ends the nonce in a word that carries one.
const nonceSeparator = "."

// textChain computes the words of a generation. Each word encodes a hash of the
// prompt, the sampling seed and all words before it. If a text is joined from two
// different texts, VerifyText fails at the joint.
type textChain struct {
	state uint64
}

func newTextChain(prompt string, seed uint64) *textChain {
	hash := xxhash.New()
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, seed))
	_, _ = hash.WriteString(prompt)
	return &textChain{state: hash.Sum64()}
}

// next returns the word that continues the text. Temperature 0 is modelled by an
// empty nonce: the continuation is then the same on all engines.
func (c *textChain) next(nonce string) string {
	buffer := binary.LittleEndian.AppendUint64(make([]byte, 0, 32), c.state)
	digits := strconv.FormatUint(xxhash.Sum64(append(buffer, nonce...)), 36)
	word := strings.Repeat("0", max(0, wordDigits-len(digits))) + digits
	word = word[len(word)-wordDigits:]
	if nonce != "" {
		word = nonce + nonceSeparator + word
	}
	return word + " "
}

// add appends a word to the text.
func (c *textChain) add(word string) {
	buffer := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), c.state)
	c.state = xxhash.Sum64(append(buffer, word...))
}

// VerifyText checks that each token of a stand-in's text continues the prompt
// and all tokens before it. The error states the first token that does not.
func VerifyText(prompt string, seed uint64, tokens []string) error {
	chain := newTextChain(prompt, seed)
	for i, token := range tokens {
		nonce, _, found := strings.Cut(token, nonceSeparator)
		if !found {
			nonce = ""
		}
		if token != chain.next(nonce) {
			return errors.Newf("token %d (%q) does not continue the text before it", i, token)
		}
		chain.add(token)
	}
	return nil
}

var (
	exactLength  = regexp.MustCompile(`\blen=([0-9]{1,9})\b`)
	varyingRange = regexp.MustCompile(`\blen~([0-9]{1,9})\b`)
)

// TextLength returns the number of tokens of the text for a prompt: N if the
// prompt contains "len=N", between N/2 and 3N/2 by the prompt's hash if it
// contains "len~N", in both cases at most maxTokens; otherwise maxTokens.
func TextLength(prompt string, maxTokens int64) int64 {
	if m := exactLength.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.ParseInt(m[1], 10, 64) // at most 9 digits
		return min(n, maxTokens)
	}
	if m := varyingRange.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.ParseInt(m[1], 10, 64) // at most 9 digits
		return min(n/2+int64(xxhash.Sum64String(prompt)%uint64(n+1)), maxTokens)
	}
	return maxTokens
}
