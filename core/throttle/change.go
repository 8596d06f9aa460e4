package throttle

import "time"

// The kinds of a Change.
const (
	Began   = "began"
	Changed = "changed"
	Ended   = "ended"
)

// changeInterval is the shortest time between two changes that are reported of an endpoint, so that one whose limit
// differs with each response does not fill the log.
const changeInterval = time.Second

// Change reports that the limit of an endpoint began, changed or ended.
type Change struct {
	Endpoint Endpoint
	Kind     string
	// Rate is the limit in requests a second, or the last one if it has ended.
	Rate float64
	// Previous is the rate of the Change before it, or 0.
	Previous float64
	// Senders is the number of daemons that may send to the endpoint.
	Senders int
	// IsSender states that this daemon is one of them.
	IsSender bool
	// FromPeer states that a peer has reported it.
	FromPeer bool
}

// announced is what the last Change of a record has said.
type announced struct {
	limited bool
	rate    float64
	at      time.Time
}

// change returns the difference from what was last reported, unless that was within changeInterval.
func (r *record) change(now time.Time, fromPeer bool) (Change, bool) {
	last := r.announced
	if r.limited == last.limited && (!r.limited || r.rate == last.rate) {
		return Change{}, false
	}
	if !last.at.IsZero() && now.Sub(last.at) < changeInterval {
		return Change{}, false
	}
	c := Change{
		Endpoint: r.endpoint, Kind: Changed, Rate: r.rate, Previous: last.rate,
		Senders: r.senders.count, IsSender: r.senders.isSender, FromPeer: fromPeer,
	}
	switch {
	case !r.limited:
		c.Kind = Ended
	case !last.limited:
		c.Kind = Began
	}
	r.announced = announced{limited: r.limited, rate: r.rate, at: now}
	return c, true
}
