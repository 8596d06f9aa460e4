package reach

// Delegation is what a daemon that reaches no endpoint tells the peer that serves a request in its place. It is made for
// one request, and used by the goroutine that serves it.
type Delegation struct {
	// From is the address of the daemon that delegates.
	From string `json:"from"`
	// Version is the version at which a stream has to go on, if HasVersion is set.
	Version    string `json:"version,omitempty"`
	HasVersion bool   `json:"has-version,omitempty"`
	// Counted is set if the request counts for the retry budget of the daemon that delegates.
	Counted bool `json:"counted,omitempty"`

	served    string
	hasServed bool
}

// SetServed records the version of the endpoint that serves a stream, for the response's header.
func (d *Delegation) SetServed(version string) { d.served, d.hasServed = version, true }

// Served returns what SetServed has recorded, and false if nothing has been.
func (d *Delegation) Served() (version string, known bool) { return d.served, d.hasServed }
