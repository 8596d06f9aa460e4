package quarantine

import "time"

// End reports that an endpoint ended while requests waited there for their first event.
type End struct {
	// Endpoint is the incarnation of the endpoint.
	Endpoint string
	// Parts are the parts of these requests, without each request's last part.
	Parts []Part
	Age   time.Duration
}

// Clearance reports that an engine began an answer on a part and lived.
type Clearance struct {
	Part Part
	Age  time.Duration
}

// Evidence is what daemons tell each other.
type Evidence struct {
	Ends       []End
	Clearances []Clearance
}

// Change reports that a group of parts was quarantined or released. Ends is the number of ends that counted against it.
type Change struct {
	Parts       []Part
	Quarantined bool
	Ends        int
}
