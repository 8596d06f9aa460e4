package relay

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minUplinkBytes is the size from which a reader's answer counts for its uplink.
	minUplinkBytes = 64 << 10
	// uplinkShare is the part of its link that a reader uses for large answers to its followers.
	uplinkShare = 0.5
	// bytesPerMbit is the number of bytes that a link of 1 Mbit/s carries in a second.
	bytesPerMbit = 1e6 / 8
)

// uplink limits the large answers of a reader to what its link carries in time. Followers beyond that ask the key-value
// service, whose link carries more.
type uplink struct{ limiter *rate.Limiter }

// newUplink returns the uplink of a link with the given rate, which may be 0 if it is not known. Within a span it carries
// at most the bytes of that span, or one answer.
func newUplink(mbps float64, span time.Duration) *uplink {
	if mbps <= 0 {
		return &uplink{}
	}
	bytesPerSecond := mbps * bytesPerMbit * uplinkShare
	return &uplink{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), max(1, int(bytesPerSecond*span.Seconds())))}
}

// take reports whether an answer of the given size may be sent now.
func (u *uplink) take(size int) bool {
	if u.limiter == nil || size < minUplinkBytes {
		return true
	}
	return u.limiter.AllowN(time.Now(), min(size, u.limiter.Burst()))
}
