package config

import (
	"sync"
	"time"
)

// announcementExpiry is the time for which an announced revision counts. Peers announce theirs with each exchange, so
// that one which nobody has any more is soon forgotten.
const announcementExpiry = 5 * time.Second

// Freshness tells whether other daemons have a newer document than the one in force. Its field must be set before use. It
// is safe for concurrent use.
type Freshness struct {
	Store *Store

	mu        sync.Mutex
	announced uint64
	// since is the time of the first announcement of a newer document, and confirmedAt that of the last one.
	since, confirmedAt time.Time
}

// Observe records that another daemon has a revision in force.
func (f *Freshness) Observe(revision uint64) {
	if revision <= f.Store.Current().Revision() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.isBehind(now) {
		f.announced, f.since = 0, now
	}
	f.announced, f.confirmedAt = max(f.announced, revision), now
}

// IsBehind reports whether another daemon has a newer document.
func (f *Freshness) IsBehind() bool {
	_, _, behind := f.Behind()
	return behind
}

// Behind returns the newest revision that other daemons have and the time since one newer than that in force was first
// announced, and false if there is none.
func (f *Freshness) Behind() (announced uint64, age time.Duration, behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return f.announced, now.Sub(f.since), f.isBehind(now)
}

func (f *Freshness) isBehind(now time.Time) bool {
	return f.announced > f.Store.Current().Revision() && now.Sub(f.confirmedAt) <= announcementExpiry
}
