package engine

import (
	"container/list"
	"math/rand/v2"
	"strconv"
	"time"
)

// maxEvents bounds the stored cache events; a reader that falls further behind sees a gap in the sequence numbers.
const maxEvents = 4096

// event is one change of the prefix cache, as published to readers.
type event struct {
	Sequence uint64 `json:"sequence"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Block is the hash of the block in hex.
	Block string `json:"block"`
	at    time.Time
}

// cache is a prefix cache with a limited number of blocks that evicts the least recently used block. It is guarded by
// the server's mutex.
type cache struct {
	// capacity is the maximum number of blocks.
	capacity int
	// lossRate is the fraction of events that are not published.
	lossRate     float64
	random       *rand.Rand
	lru          *list.List
	blocks       map[uint64]*list.Element
	lastSequence uint64
	events       []event
}

func newCache(capacity int, lossRate float64, seed uint64) *cache {
	return &cache{
		capacity: capacity,
		lossRate: lossRate,
		random:   rand.New(rand.NewPCG(seed, 0)),
		lru:      list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// cachedPrefix returns the number of leading ids of the prompt that are in cached blocks, and marks these blocks as
// used.
func (c *cache) cachedPrefix(prompt []uint32) int {
	var hash uint64
	n := 0
	for ; n+BlockTokens <= len(prompt); n += BlockTokens {
		hash = BlockHash(hash, prompt[n:n+BlockTokens])
		element, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.lru.MoveToFront(element)
	}
	return n
}

// storeBlock adds a block to the cache or marks it as used. It evicts the least recently used block if the cache is
// full.
func (c *cache) storeBlock(hash uint64) {
	if element, ok := c.blocks[hash]; ok {
		c.lru.MoveToFront(element)
		return
	}
	if c.capacity <= 0 {
		return
	}
	if len(c.blocks) >= c.capacity {
		oldest := c.lru.Back()
		block, _ := c.lru.Remove(oldest).(uint64)
		delete(c.blocks, block)
		c.publishEvent("evicted", block)
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.publishEvent("stored", hash)
}

func (c *cache) publishEvent(kind string, hash uint64) {
	c.lastSequence++
	if c.random.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, event{Sequence: c.lastSequence, Kind: kind, Block: formatBlock(hash), at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are at least lag old, and the sequence number of the last
// event returned.
func (c *cache) eventsAfter(sequence uint64, lag time.Duration) ([]event, uint64) {
	events := []event{}
	cutoff := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.at.After(cutoff) {
			break
		}
		if e.Sequence > sequence {
			events = append(events, e)
		}
	}
	if len(events) > 0 {
		sequence = events[len(events)-1].Sequence
	}
	return events, sequence
}

func formatBlock(hash uint64) string {
	return strconv.FormatUint(hash, 16)
}
