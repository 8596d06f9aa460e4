package route

import "net/netip"

// IsAddress reports whether text has the form IP:PORT with a port other than 0.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
