package daemon

import (
	"fmt"
	"net/netip"

	"radishhollow/core/failure"
	"radishhollow/core/route"
	"radishhollow/io/settings"
)

// OwnAddressError reports a registration with an address at which this daemon listens. Requests to it would come back
// to this daemon and be forwarded again.
type OwnAddressError struct{ Address string }

func (e OwnAddressError) Error() string {
	return fmt.Sprintf("%s is an address of this daemon", e.Address)
}

func (e OwnAddressError) Code() string { return "own-address" }

func (e OwnAddressError) Outcome() failure.Outcome { return failure.NotRun }

// ownAddresses holds the addresses at which this daemon listens.
type ownAddresses map[netip.AddrPort]bool

// newOwnAddresses takes the addresses from the settings. A listener without an IP address is reached at that of the peer
// listener, which has one.
func newOwnAddresses(s settings.Settings) ownAddresses {
	own := ownAddresses{}
	peer, _ := netip.ParseAddrPort(s.PeerListen)
	for _, text := range []string{s.Listen, s.PeerListen, s.OperatorListen, s.ReadinessListen} {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			continue
		}
		if address.Addr().IsUnspecified() {
			address = netip.AddrPortFrom(peer.Addr(), address.Port())
		}
		own[normalize(address)] = true
	}
	return own
}

// check returns OwnAddressError for an endpoint at one of the addresses.
func (a ownAddresses) check(l route.Listing) error {
	if address, err := netip.ParseAddrPort(l.Address); err == nil && a[normalize(address)] {
		return OwnAddressError{Address: l.Address}
	}
	return nil
}

// normalize makes an IPv4 address in its IPv6 form equal to its usual one.
func normalize(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
