package throttle

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// membersInterval is the time for which a list of the members is used.
	membersInterval = 100 * time.Millisecond
	// minSenders is the number of daemons that may send to an endpoint however low its limit is. Few keep the sum of the
	// bursts low; several leave room for one that has died or has no requests for the endpoint.
	minSenders = 4
)

// view is what is known of the members at a time.
type view struct {
	addresses []string
	// turn differs between views with different addresses.
	turn uint64
	at   time.Time
}

// members keeps the list of the members for membersInterval.
type members struct {
	mu   sync.Mutex
	last atomic.Pointer[view]
}

// view returns the members, and calls list if what is known is too old.
func (m *members) view(list func() []string) *view {
	if v := m.last.Load(); v != nil && time.Since(v.at) < membersInterval {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.last.Load()
	if last != nil && time.Since(last.at) < membersInterval {
		return last
	}
	v := &view{addresses: list(), turn: 1, at: time.Now()}
	if last != nil {
		v.turn = last.turn
		if !slices.Equal(last.addresses, v.addresses) {
			v.turn++
		}
	}
	m.last.Store(v)
	return v
}

// senders is the choice of the daemons that may send to an endpoint.
type senders struct {
	turn uint64
	// wanted is the number of senders if there are as many members.
	wanted   int
	count    int
	isSender bool
}

// countSenders returns the number of senders for a rate. With one token each, they can send 4 + rate requests at once.
func countSenders(rate float64) int {
	return minSenders + int(math.Floor(rate))
}

// choose chooses the senders for a rate. All daemons with the same members choose the same ones (rendezvous hashing).
func (s *senders) choose(v *view, endpointHash uint64, self string, rate float64) {
	wanted := countSenders(rate)
	if s.turn == v.turn && s.wanted == wanted {
		return
	}
	*s = senders{turn: v.turn, wanted: wanted, count: min(wanted, len(v.addresses))}
	s.isSender = slices.Contains(v.addresses, self) && rank(v.addresses, endpointHash, self) < s.count
}

// rank returns the number of members that come before self for an endpoint.
func rank(addresses []string, endpointHash uint64, self string) int {
	var buffer [64]byte
	weigh := func(address string) uint64 {
		return xxhash.Sum64(binary.BigEndian.AppendUint64(append(buffer[:0], address...), endpointHash))
	}
	own, before := weigh(self), 0
	for _, address := range addresses {
		if cmp.Or(cmp.Compare(weigh(address), own), cmp.Compare(address, self)) < 0 {
			before++
		}
	}
	return before
}
