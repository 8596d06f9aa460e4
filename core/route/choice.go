package route

// Choice is the endpoint picked for one attempt. Its Release must be called once when the attempt ends.
type Choice struct {
	address     string
	incarnation string
	place       string
	release     func()
	begun       func()
	load        int
	prefill     int
	candidates  int
}

// NewChoice returns a Choice; release may be nil.
func NewChoice(address, incarnation, place string, release func()) Choice {
	return Choice{address: address, incarnation: incarnation, place: place, release: release}
}

// Address returns the endpoint's IP address and port.
func (c Choice) Address() string { return c.address }

// Incarnation returns the endpoint's incarnation.
func (c Choice) Incarnation() string { return c.incarnation }

// Place returns the endpoint's place.
func (c Choice) Place() string { return c.place }

// Load returns the requests that the endpoint was believed to have when it was chosen.
func (c Choice) Load() int { return c.load }

// PrefillTokens returns the prompt tokens that it was believed to have left to read.
func (c Choice) PrefillTokens() int { return c.prefill }

// Candidates returns the number of endpoints among which it was chosen.
func (c Choice) Candidates() int { return c.candidates }

// PrefillDone tells that the endpoint has read the prompt: the first output has come.
func (c Choice) PrefillDone() {
	if c.begun != nil {
		c.begun()
	}
}

// Release returns the load that the choice reserved.
func (c Choice) Release() {
	if c.release != nil {
		c.release()
	}
}
