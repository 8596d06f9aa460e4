package route

import "time"

// Choice is the endpoint picked for one attempt. Its Release must be called once when the attempt ends.
type Choice struct {
	address       string
	incarnation   string
	place         string
	version       string
	service       string
	route         string
	startedAtMS   int64 // Listing.StartedAtMS of the endpoint
	pickedAt      time.Time
	sent          func()
	rejected      func()
	release       func()
	prefillDone   func()
	load          int
	prefillTokens int
	eligibleCount int
}

// NewChoice returns a Choice that calls release on Release; release may be nil.
func NewChoice(address, incarnation, place string, release func()) Choice {
	return Choice{address: address, incarnation: incarnation, place: place, release: release}
}

// WithVersion returns the choice with another version of the endpoint's software.
func (c Choice) WithVersion(version string) Choice {
	c.version = version
	return c
}

// Address returns the endpoint's IP address and port.
func (c Choice) Address() string { return c.address }

// Incarnation returns the endpoint's incarnation.
func (c Choice) Incarnation() string { return c.incarnation }

// Place returns the endpoint's place.
func (c Choice) Place() string { return c.place }

// Version returns the version of the endpoint's software, or an empty string if it is not known.
func (c Choice) Version() string { return c.version }

// Service and Route return Criteria.Name and Criteria.Route of the pick.
func (c Choice) Service() string { return c.service }

// Route is described at Service.
func (c Choice) Route() string { return c.route }

// PickedAt returns the time of the pick.
func (c Choice) PickedAt() time.Time { return c.pickedAt }

// Load returns the estimated number of running and waiting requests on the endpoint when it was picked.
func (c Choice) Load() int { return c.load }

// PrefillTokens returns the estimated number of prompt tokens that awaited prefill on the endpoint when it was picked.
func (c Choice) PrefillTokens() int { return c.prefillTokens }

// EligibleCount returns the number of eligible endpoints that the preferences of the Criteria left, before Pick took a
// sample of them.
func (c Choice) EligibleCount() int { return c.eligibleCount }

// PrefillDone removes the prompt from the endpoint's pending prefill work. It is called on the first output.
func (c Choice) PrefillDone() {
	if c.prefillDone != nil {
		c.prefillDone()
	}
}

// Sent notes that the request of the attempt is about to be sent. An attempt without it takes nothing from the limit that the
// endpoint has named.
func (c Choice) Sent() {
	if c.sent != nil {
		c.sent()
	}
}

// Release frees the load that the choice reserved.
func (c Choice) Release() {
	if c.release != nil {
		c.release()
	}
}
