package memory

import "sync"

// Holder keeps the memory of several messages until it is closed. Its zero value is ready to use. It is safe for concurrent
// use.
type Holder struct {
	mu       sync.Mutex
	closed   bool
	releases []func()
}

// Keep calls release when the Holder is closed, or at once if it is.
func (h *Holder) Keep(release func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		release()
		return
	}
	h.releases = append(h.releases, release)
}

// Close returns the memory of all messages.
func (h *Holder) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, release := range h.releases {
		release()
	}
	h.releases = nil
}
