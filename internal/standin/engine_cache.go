package standin

import (
	"container/list"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// cacheBlockTokens is the number of tokens in a block of the prefix cache.
const cacheBlockTokens = 16

// prefixCache models the prefix cache of an engine: an LRU cache of token
// blocks, each keyed by the hash of all text up to its end. It is not safe for
// concurrent use.
type prefixCache struct {
	capacity int // blocks
	recency  *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// promptTokens splits a prompt into tokens for prefill.
func promptTokens(prompt string) []string { return strings.Fields(prompt) }

// lookupAndInsert returns the number of leading tokens that were cached and
// caches all full blocks.
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
