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
	// maxReceived is the largest number of tokens that the caller has received in one response. A request that starts
	// over makes progress only above it.
	maxReceived int
	// progress holds the times at which the request made progress and the time of its end.
	progress []time.Time
	// discarded is the number of tokens that the caller discarded to start over.
	discarded int
	affected  bool
	started   bool // the affected request had output
	done      bool
	last      Generation // the last response, the only one that a caller keeps when it starts over
	err       error      // the error of Caller.Resume for it
}

func (r *request) observe(g *Generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cursor = g.Cursor
	if len(g.Tokens) > r.maxReceived {
		r.maxReceived = len(g.Tokens)
		r.progress = append(r.progress, time.Now())
	}
}

// markAffected marks the request if it currently runs on one of the endpoints.
func (r *request) markAffected(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done || r.cursor == "" {
		return
	}
	key, _ := hex.DecodeString(cursorKey)
	decoded, err := generation.CursorCodec{Keys: [][]byte{key}}.Open(r.cursor, r.workspace, time.Now())
	if err == nil && slices.Contains(addresses, decoded.Address) {
		r.affected, r.started = true, true
	}
}

// finish records the end of the request.
func (r *request) finish(g Generation, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.err, r.done = g, err, true
	r.progress = append(r.progress, time.Now())
}

// waitAfter returns the longest wait for progress that ended after since.
func (r *request) waitAfter(since time.Time) time.Duration {
	return longestWait(r.arrived, r.progress, since)
}

// tokenWaitAfter is waitAfter without the wait for the first token, which is mostly queueing time.
func (r *request) tokenWaitAfter(since time.Time) time.Duration {
	if r.maxReceived == 0 {
		return 0
	}
	return longestWait(r.progress[0], r.progress[1:], since)
}

// longestWait returns the longest time between two successive entries of previous and progress that ended after since.
func longestWait(previous time.Time, progress []time.Time, since time.Time) time.Duration {
	longest := time.Duration(0)
	for _, at := range progress {
		if at.After(since) {
			longest = max(longest, at.Sub(previous))
		}
		previous = at
	}
	return longest
}
