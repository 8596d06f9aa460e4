package bench

import (
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"radishhollow/core/generation"
)

// request is one request of a load as its caller sees it.
type request struct {
	workspace string
	daemon    string
	prompt    []uint32
	maxTokens int
	arrived   time.Time

	mu     sync.Mutex
	cursor string
	// maxReceived is the largest number of tokens that the caller has received in one attempt. A request that starts over
	// makes progress only above it.
	maxReceived int
	progress    []time.Time
	discarded   int
	affected    bool
	started     bool // the affected request had output
	done        bool
	last        Generation
	err         error
}

func (a *request) observe(g *Generation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cursor = g.Cursor
	if len(g.Tokens) > a.maxReceived {
		a.maxReceived = len(g.Tokens)
		a.progress = append(a.progress, time.Now())
	}
}

// markAffected marks the request if it currently runs on one of the endpoints.
func (a *request) markAffected(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.cursor == "" {
		return
	}
	key, _ := hex.DecodeString(cursorKey)
	position, err := generation.CursorCodec{Keys: [][]byte{key}}.Open(a.cursor, a.workspace, time.Now())
	if err == nil && slices.Contains(addresses, position.Address) {
		a.affected, a.started = true, true
	}
}

// finish records the end of the last attempt.
func (a *request) finish(g Generation, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last, a.err, a.done = g, err, true
	a.progress = append(a.progress, time.Now())
}

// waitAfter returns the longest wait for progress that ended after since.
func (a *request) waitAfter(since time.Time) time.Duration {
	return longestWait(a.arrived, a.progress, since)
}

// tokenWaitAfter is waitAfter without the wait for the first token, which is mostly queueing time.
func (a *request) tokenWaitAfter(since time.Time) time.Duration {
	if a.maxReceived == 0 {
		return 0
	}
	return longestWait(a.progress[0], a.progress[1:], since)
}

func longestWait(before time.Time, progress []time.Time, since time.Time) time.Duration {
	longest := time.Duration(0)
	for _, at := range progress {
		if at.After(since) {
			longest = max(longest, at.Sub(before))
		}
		before = at
	}
	return longest
}
