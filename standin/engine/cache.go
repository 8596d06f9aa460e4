package engine

import (
	"container/list"
	"math/rand/v2"
	"strconv"
	"time"
)

// maxEvents bounds the kept cache events; older ones become a gap for a slow reader.
const maxEvents = 4096

// event is one change of the prefix cache.
type event struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
	at       time.Time
}

// cache is a prefix cache of limited blocks that evicts the least recently used.
type cache struct {
	capacity int
	// loss is the fraction of events that are never published.
	loss   float64
	random *rand.Rand
	order  *list.List
	blocks map[uint64]*list.Element
	last   uint64
	events []event
}

func newCache(capacity int, loss float64, seed uint64) *cache {
	return &cache{
		capacity: capacity,
		loss:     loss,
		random:   rand.New(rand.NewPCG(seed, 0)),
		order:    list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// cached returns how many leading ids of the prompt are in cached blocks.
func (c *cache) cached(prompt []uint32) int {
	var hash uint64
	n := 0
	for ; n+BlockTokens <= len(prompt); n += BlockTokens {
		hash = BlockHash(hash, prompt[n:n+BlockTokens])
		element, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
	}
	return n
}

// store puts a block into the cache.
func (c *cache) store(hash uint64) {
	if element, ok := c.blocks[hash]; ok {
		c.order.MoveToFront(element)
		return
	}
	if c.capacity <= 0 {
		return
	}
	if len(c.blocks) >= c.capacity {
		oldest := c.order.Back()
		block, _ := c.order.Remove(oldest).(uint64)
		delete(c.blocks, block)
		c.publish("evicted", block)
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.publish("stored", hash)
}

func (c *cache) publish(kind string, hash uint64) {
	c.last++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, event{Sequence: c.last, Kind: kind, Block: formatBlock(hash), at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events after a sequence number that are at least lag old, and the last number returned.
func (c *cache) after(sequence uint64, lag time.Duration) ([]event, uint64) {
	found := []event{}
	limit := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.at.After(limit) {
			break
		}
		if e.Sequence > sequence {
			found = append(found, e)
		}
	}
	if len(found) > 0 {
		sequence = found[len(found)-1].Sequence
	}
	return found, sequence
}

func formatBlock(hash uint64) string {
	return strconv.FormatUint(hash, 16)
}
