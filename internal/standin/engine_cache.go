package standin

import (
	"container/list"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// cacheBlockTokens is how many tokens a block of the prefix cache holds.
const cacheBlockTokens = 16

// prefixCache models an engine's cache of prompt prefixes: blocks of tokens,
// each keyed by the hash of all text up to its end, in limited memory with
// removal of the least recently used. It is not safe for concurrent use.
type prefixCache struct {
	capacity int // blocks
	recency  *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// promptTokens splits a prompt into the tokens that prefill has to compute.
func promptTokens(prompt string) []string { return strings.Fields(prompt) }

// lookupAndInsert returns how many leading tokens are cached and then caches all of them.
func (c *prefixCache) lookupAndInsert(tokens []string) int {
	hits, missed := 0, false
	var state uint64
	for start := 0; start+cacheBlockTokens <= len(tokens); start += cacheBlockTokens {
		state = blockHash(state, tokens[start:start+cacheBlockTokens])
		element, found := c.blocks[state]
		if found {
			c.recency.MoveToFront(element)
		} else {
			c.insert(state)
		}
		missed = missed || !found
		if !missed {
			hits += cacheBlockTokens
		}
	}
	return hits
}

func (c *prefixCache) insert(key uint64) {
	if c.capacity == 0 {
		return
	}
	if c.recency.Len() >= c.capacity {
		oldest := c.recency.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.recency.Remove(oldest)
	}
	c.blocks[key] = c.recency.PushFront(key)
}

func blockHash(state uint64, tokens []string) uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, state))
	for _, token := range tokens {
		_, _ = hash.WriteString(strings.TrimSpace(token))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}
