package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
)

// maxPromptParts bounds the parts of a prompt that are tracked.
const maxPromptParts = 256

// Part identifies a part of a prompt by a hash of its ID.
type Part uint64

// NewPart returns the part with an ID. The hash is a cryptographic one: a workspace must not
// be able to choose an ID that stands for the part of another.
func NewPart(id string) Part {
	hash := sha256.Sum256([]byte(id))
	return Part(binary.BigEndian.Uint64(hash[:]))
}

// String returns the part in hexadecimal.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// Prompt holds the parts that a prompt can share with others: all but the last one, which
// belongs to the request or its session. Parts are distinct.
type Prompt []Part

// NewPrompt returns the prompt with the given part IDs, in order; the last ID is left out.
// Of a prompt with too many parts it holds the first and the last ones.
func NewPrompt(ids []string) Prompt {
	if len(ids) < 2 {
		return nil
	}
	ids = ids[:len(ids)-1]
	if len(ids) > maxPromptParts {
		ids = slices.Concat(ids[:maxPromptParts/2], ids[len(ids)-maxPromptParts/2:])
	}
	prompt := make(Prompt, 0, len(ids))
	for _, id := range ids {
		if part := NewPart(id); id != "" && !slices.Contains(prompt, part) {
			prompt = append(prompt, part)
		}
	}
	return prompt
}

// sorted returns the parts in ascending order.
func (p Prompt) sorted() []Part { return slices.Compact(slices.Sorted(slices.Values(p))) }
