package standin

import (
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// wordDigits is the length of the hash in a word, in base 36 digits (about 41
// bits).
const wordDigits = 8

// nonceSeparator ends the nonce in a word that carries one.
const nonceSeparator = "."

// textChain computes the words of a generation. Each word encodes a hash of the
// prompt, the sampling seed and all words before it, so a text that was joined
// from two different texts is detected at the joint.
type textChain struct {
	state uint64
}

func newTextChain(prompt string, seed uint64) *textChain {
	hash := xxhash.New()
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, seed))
	_, _ = hash.WriteString(prompt)
	return &textChain{state: hash.Sum64()}
}

// next returns the word that continues the text. An empty nonce gives the only
// continuation at temperature 0.
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
// and all tokens before it. It returns an error with the first position where
// that is not so.
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

// TextLength returns how many tokens the text of a prompt has: N if the prompt
// contains "len=N", between N/2 and 3N/2 as the prompt's hash says if it
// contains "len~N", at most maxTokens, and maxTokens otherwise.
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
