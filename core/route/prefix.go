package route

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of token ids in one cache block.
const BlockTokens = 16

const (
	// maxMissingBlocks is the number of consecutive blocks without a known holder that a match skips, because events
	// may be lost.
	maxMissingBlocks = 2
	// maxHolders bounds the endpoints recorded per block; the oldest is dropped first.
	maxHolders = 8
)

// CacheEventKind is what happened to a cache block.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	Block    uint64 // the block's hash, as in BlockHashes
}

// BlockHashes returns the hashes of the prompt's full blocks. Each hash covers the previous one, so it identifies the
// whole prefix.
func BlockHashes(prompt []uint32) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/BlockTokens)
	var buffer [8 + 4*BlockTokens]byte
	for ; len(prompt) >= BlockTokens; prompt = prompt[BlockTokens:] {
		for i, id := range prompt[:BlockTokens] {
			binary.LittleEndian.PutUint32(buffer[8+4*i:], id)
		}
		hash := xxhash.Sum64(buffer[:])
		blocks = append(blocks, hash)
		binary.LittleEndian.PutUint64(buffer[:8], hash)
	}
	return blocks
}

// holder is an endpoint that probably has a block in its cache.
type holder struct {
	id uint64    // endpoint.id
	at time.Time // time of the last cache event or pick
}

type prefixNode struct {
	block      uint64
	holders    []holder
	prev, next *prefixNode
}

// prefixIndex records which endpoints probably have a block in their cache. It is an LRU index of at most limit blocks.
type prefixIndex struct {
	limit int
	ttl   time.Duration
	nodes map[uint64]*prefixNode
	root  prefixNode // sentinel of the LRU list; root.next is the most recently used
}

func newPrefixIndex(limit int, ttl time.Duration) *prefixIndex {
	x := &prefixIndex{limit: limit, ttl: ttl, nodes: make(map[uint64]*prefixNode)}
	x.root.prev, x.root.next = &x.root, &x.root
	return x
}

func (x *prefixIndex) add(block, id uint64, now time.Time) {
	if x.limit <= 0 {
		return
	}
	n := x.nodes[block]
	if n == nil {
		if len(x.nodes) >= x.limit {
			x.removeNode(x.root.prev)
		}
		n = &prefixNode{block: block}
		x.nodes[block] = n
	} else {
		n.unlink()
	}
	n.link(&x.root)
	n.removeHolder(id)
	if len(n.holders) >= maxHolders {
		n.holders = append(n.holders[:0], n.holders[1:]...)
	}
	n.holders = append(n.holders, holder{id, now})
}

func (x *prefixIndex) remove(block, id uint64) {
	n := x.nodes[block]
	if n == nil {
		return
	}
	n.removeHolder(id)
	if len(n.holders) == 0 {
		x.removeNode(n)
	}
}

// match returns the number of leading blocks that each endpoint probably has in its cache. A later block of a chain
// implies the earlier ones, since an engine evicts a chain from its end.
func (x *prefixIndex) match(blocks []uint64, now time.Time) map[uint64]int {
	matched := make(map[uint64]int)
	gap := 0
	for i, block := range blocks {
		n := x.nodes[block]
		if n == nil {
			if gap++; gap > maxMissingBlocks {
				break
			}
			continue
		}
		gap = 0
		for _, h := range n.holders {
			if now.Sub(h.at) < x.ttl {
				matched[h.id] = i + 1
			}
		}
	}
	return matched
}

func (x *prefixIndex) removeNode(n *prefixNode) {
	n.unlink()
	delete(x.nodes, n.block)
}

func (n *prefixNode) unlink() {
	n.prev.next, n.next.prev = n.next, n.prev
}

func (n *prefixNode) link(root *prefixNode) {
	n.prev, n.next = root, root.next
	root.next.prev = n
	root.next = n
}

func (n *prefixNode) removeHolder(id uint64) {
	for i, h := range n.holders {
		if h.id == id {
			n.holders = append(n.holders[:i], n.holders[i+1:]...)
			return
		}
	}
}
