package route

import "net/netip"

// broadcast is the IPv4 address of all hosts of a network, which no connection can reach.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// IsAddress reports whether text has the form IP:PORT and names one port of one host: port 0, a multicast or broadcast
// address and an IPv6 zone, which applies to one machine only, do not. A connection to the unspecified address would
// reach the machine that opens it.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return false
	}
	ip := address.Addr().Unmap()
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast && ip.Zone() == ""
}
