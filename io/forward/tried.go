package forward

// triedAddresses holds the addresses to which a request was sent. All attempts of a request have its id, so an earlier
// refusal that an engine writes once more on a kept connection would pass for the answer to a later attempt at this
// engine. Such an attempt therefore gets a new connection.
type triedAddresses map[string]bool

// mayReuseConnection reports whether the next attempt at an address is the first one, and records it.
func (t *triedAddresses) mayReuseConnection(address string) bool {
	if *t == nil {
		*t = triedAddresses{}
	}
	tried := (*t)[address]
	(*t)[address] = true
	return !tried
}
