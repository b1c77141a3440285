// Package upstreamtest provides fake engines and a fake router for tests of the
// packages that use upstreams. It works in virtual time (testing/synctest).
//
// Shipped programs must never import the package.
package upstreamtest

import (
	"crypto/sha256"
	"encoding/base32"
	"fmt"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// tokenBytes gives eight characters per token, enough to distinguish texts.
const tokenBytes = 5

// TokenText returns the token that an engine with the given nonce generates after
// a text. It depends on the whole preceding text, so that recomputation detects a
// missing, repeated or foreign token.
func TokenText(prompt string, pin upstream.ModelPin, prefix contract.PrefixDigest, nonce uint64) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q %q %s %d",
		prompt, pin.Model, pin.Version, pin.Adapter, prefix, nonce))
	return base32.StdEncoding.EncodeToString(sum[:tokenBytes])
}

// FirstInvalidToken recomputes a text and returns the offset of the first token that no
// engine with one of the nonces would have generated after the preceding tokens,
// or -1 if there is none.
func FirstInvalidToken(prompt string, pin upstream.ModelPin, texts []string, nonces []uint64) int {
	digester := contract.NewDigester()
	for i, text := range texts {
		if !generatedByAny(prompt, pin, digester.PrefixDigest(), text, nonces) {
			return i
		}
		digester.Add(text)
	}
	return -1
}

func generatedByAny(
	prompt string, pin upstream.ModelPin, prefix contract.PrefixDigest, text string, nonces []uint64,
) bool {
	for _, nonce := range nonces {
		if TokenText(prompt, pin, prefix, nonce) == text {
			return true
		}
	}
	return false
}
