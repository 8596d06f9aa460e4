package settings

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// minKeyBytes is the minimum size of a key. A key shorter than the HMAC-SHA256 digest weakens the signature.
const minKeyBytes = 32

func sortedKeys(tree map[string]any) []string { return slices.Sorted(maps.Keys(tree)) }

// checker collects faults.
type checker struct{ faults []Fault }

func (c *checker) addFault(key, reason string) {
	c.faults = append(c.faults, Fault{Key: key, Reason: reason})
}

// validate returns the faults of all values.
func (s Settings) validate() []Fault {
	c := &checker{}
	if s.Interface != InterfaceOwn && s.Interface != InterfaceForward {
		c.addFault("interface", fmt.Sprintf("%q is neither %q nor %q", s.Interface, InterfaceOwn, InterfaceForward))
	}
	if strings.TrimSpace(s.Place) == "" {
		c.addFault("place", "the place is missing")
	}
	c.checkAddress("listen", s.Listen, true)
	c.checkAddress("operator-listen", s.OperatorListen, true)
	// The daemon is registered under this address and other daemons call it, so it must be that of a network interface.
	c.checkAddress("peer-listen", s.PeerListen, false)
	c.checkAddress("platform", s.Platform, false)
	for i, peer := range s.Peers {
		c.checkAddress(fmt.Sprintf("peers[%d]", i), peer, false)
	}
	c.checkDistinct(s)
	if s.Forward.MaxDescriptors != 0 && s.Forward.MaxDescriptors < minDescriptors {
		c.addFault("forward.max-descriptors", fmt.Sprintf("%d is less than %d", s.Forward.MaxDescriptors, minDescriptors))
	}
	if s.Interface == InterfaceForward {
		c.checkForward(s)
	} else {
		c.checkOwnKeys(s)
	}
	c.checkHexKeys("peer-keys", s.PeerKeys)
	// ParseLevel also accepts panic, fatal, warn and trace, which the message leaves out.
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		c.addFault("log-level", fmt.Sprintf("%q is not one of error, warning, info, debug", s.LogLevel))
	}
	c.checkTimeouts(s.Timeouts)
	c.checkLimits(s.Limits)
	return c.faults
}

func (c *checker) checkForward(s Settings) {
	c.checkAddress("readiness-listen", s.ReadinessListen, true)
	f := s.Forward
	if f.RetryRatio < 0 || f.RetryRatio > 10 {
		c.addFault("forward.retry-ratio", fmt.Sprintf("%g is not between 0 and 10", f.RetryRatio))
	}
	if f.RetrySlack < 0 {
		c.addFault("forward.retry-slack", fmt.Sprintf("%d is negative", f.RetrySlack))
	}
	if f.RetryWindow.Duration < time.Second || f.RetryWindow.Duration > time.Hour {
		c.addFault("forward.retry-window", fmt.Sprintf("%s is not between 1s and 1h", f.RetryWindow))
	}
	for key, bound := range map[string]Duration{"drain-bound": f.DrainBound, "config-bound": f.ConfigBound} {
		if bound.Duration < time.Second || bound.Duration > time.Minute {
			c.addFault("forward."+key, fmt.Sprintf("%s is not between 1s and 1m", bound))
		}
	}
	if f.StopGrace.Duration < 0 || f.StopGrace.Duration > time.Hour {
		c.addFault("forward.stop-grace", fmt.Sprintf("%s is not between 0s and 1h", f.StopGrace))
	}
	if f.MemoryMB < minMemoryMB {
		c.addFault("forward.memory-mb", fmt.Sprintf("%d is less than %d", f.MemoryMB, minMemoryMB))
	}
	if !(f.LinkMbps >= 0 && f.LinkMbps <= maxLinkMbps) {
		c.addFault("forward.link-mbps", fmt.Sprintf("%g is not between 0 and %g", f.LinkMbps, maxLinkMbps))
	}
	if f.Rollouts.Enabled() {
		c.checkRollouts(f.Rollouts)
	}
}

func (c *checker) checkRollouts(r Rollouts) {
	// The conditions are written so that NaN does not pass.
	if !(r.ExposureShare >= 0 && r.ExposureShare <= 1) {
		c.addFault("forward.rollouts.exposure-share", fmt.Sprintf("%g is not between 0 and 1", r.ExposureShare))
	}
	if !(r.ExposureSlack >= 0 && r.ExposureSlack <= maxExposureSlack) {
		c.addFault("forward.rollouts.exposure-slack", fmt.Sprintf("%g is not between 0 and %g", r.ExposureSlack, maxExposureSlack))
	}
	if r.RollbackBound.Duration < time.Second || r.RollbackBound.Duration > time.Minute {
		c.addFault("forward.rollouts.rollback-bound", fmt.Sprintf("%s is not between 1s and 1m", r.RollbackBound))
	}
}

// maxLinkMbps is above the links of any instance.
const maxLinkMbps = 1e6

// maxExposureSlack is far above the slack of any deployment.
const maxExposureSlack = 1e6

// minMemoryMB is the memory in MiB that an idle daemon needs, with a reserve for requests.
const minMemoryMB = 48

// minDescriptors is what a daemon needs for its listeners, the store, some peers and endpoints, and a few callers.
const minDescriptors = 256

// checkOwnKeys checks the keys that are used only with InterfaceOwn.
func (c *checker) checkOwnKeys(s Settings) {
	if raw, err := hex.DecodeString(s.OperatorKeyDigest); err != nil || len(raw) != 32 {
		c.addFault("operator-key-digest", "must be the SHA-256 digest of the operator key in 64 hex digits")
	}
	if len(s.CursorKeys) == 0 {
		c.addFault("cursor-keys", "at least one key is required")
	}
	c.checkHexKeys("cursor-keys", s.CursorKeys)
}

func (c *checker) checkHexKeys(name string, keys []string) {
	for i, key := range keys {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) < minKeyBytes {
			c.addFault(fmt.Sprintf("%s[%d]", name, i), fmt.Sprintf("must have at least %d bytes in hex", minKeyBytes))
		}
	}
}

func (c *checker) checkAddress(key, value string, allowUnspecified bool) {
	if value == "" {
		c.addFault(key, "the address is missing; write IP:PORT")
		return
	}
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil && hasHostName(value):
		c.addFault(key, fmt.Sprintf("%q has a host name; write the IP address", value))
	case err != nil:
		c.addFault(key, fmt.Sprintf("%q is not of the form IP:PORT", value))
	case address.Port() == 0:
		c.addFault(key, fmt.Sprintf("%q has port 0; write the port that clients connect to", value))
	case !allowUnspecified && address.Addr().IsUnspecified():
		c.addFault(key, fmt.Sprintf("%q is an unspecified address; write the IP address of the machine", value))
	}
}

func hasHostName(value string) bool {
	host, _, found := strings.Cut(value, ":")
	return found && strings.ContainsFunc(host, func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}) && !strings.HasPrefix(value, "[")
}

func (c *checker) checkDistinct(s Settings) {
	seen := map[string]string{}
	for _, listener := range [][2]string{
		{"listen", s.Listen}, {"operator-listen", s.OperatorListen}, {"peer-listen", s.PeerListen},
		{"readiness-listen", s.ReadinessListen},
	} {
		if first, found := seen[listener[1]]; found && listener[1] != "" {
			c.addFault(listener[0], "the address is already used by "+first)
		}
		seen[listener[1]] = listener[0]
	}
}

func (c *checker) checkTimeouts(t Timeouts) {
	const day = 24 * time.Hour
	c.checkDuration("queue-wait", t.QueueWait, time.Millisecond, time.Hour)
	c.checkDuration("connect", t.Connect, time.Millisecond, time.Minute)
	c.checkDuration("endpoint-idle", t.EndpointIdle, 10*time.Millisecond, time.Hour)
	c.checkDuration("platform", t.Platform, 10*time.Millisecond, time.Minute)
	c.checkDuration("peer", t.Peer, 10*time.Millisecond, time.Minute)
	c.checkDuration("exchange-interval", t.ExchangeInterval, 50*time.Millisecond, time.Minute)
	c.checkDuration("config-poll", t.ConfigPoll, 100*time.Millisecond, time.Hour)
	c.checkDuration("watch-wait", t.WatchWait, 100*time.Millisecond, 5*time.Minute)
	c.checkDuration("instance-poll", t.InstancePoll, 50*time.Millisecond, time.Minute)
	c.checkDuration("load-poll", t.LoadPoll, 20*time.Millisecond, time.Minute)
	c.checkDuration("lease-ttl", t.LeaseTTL, 500*time.Millisecond, time.Hour)
	c.checkDuration("order", t.Order, 100*time.Millisecond, 10*time.Minute)
	c.checkDuration("order-settle", t.OrderSettle, 100*time.Millisecond, 10*time.Minute)
	c.checkDuration("isolation", t.Isolation, time.Second, day)
	c.checkDuration("mark-expiry", t.MarkExpiry, 10*time.Second, day)
	c.checkDuration("peer-expiry", t.PeerExpiry, time.Second, day)
	c.checkDuration("drain", t.Drain, 0, 7*day)
	c.checkDuration("drain-delay", t.DrainDelay, 0, time.Hour)
	c.checkDuration("version-drain", t.VersionDrain, 0, day)
	c.checkDuration("cursor-expiry", t.CursorExpiry, time.Hour, 30*day)
	c.checkDuration("claim-wait", t.ClaimWait, time.Millisecond, time.Hour)
	// The minimum equals claim.DefaultSendWithin, the maximum age of a claim at the time of sending.
	c.checkDuration("claim-expiry", t.ClaimExpiry, time.Minute, 30*day)
	if t.Isolation.Duration <= t.ExchangeInterval.Duration {
		c.addFault("timeouts.isolation", "must be longer than exchange-interval")
	}
	if t.PeerExpiry.Duration <= t.ExchangeInterval.Duration {
		c.addFault("timeouts.peer-expiry", "must be longer than exchange-interval")
	}
}

func (c *checker) checkDuration(key string, value Duration, low, high time.Duration) {
	if value.Duration < low || value.Duration > high {
		c.addFault("timeouts."+key, fmt.Sprintf("%s is not between %s and %s", value, low, high))
	}
}

func (c *checker) checkLimits(l Limits) {
	c.checkCount("queue-length", l.QueueLength, 1, 1<<20)
	c.checkCount("subset-size", l.SubsetSize, 1, 1<<16)
	c.checkCount("exchange-fanout", l.ExchangeFanout, 1, 16)
	c.checkCount("prompt-bytes", l.PromptBytes, 1<<10, 64<<20)
	c.checkCount("booking-bytes", l.BookingBytes, 1<<10, 64<<20)
	c.checkCount("header-bytes", l.HeaderBytes, 4<<10, 1<<20)
}

func (c *checker) checkCount(key string, value, low, high int) {
	if value < low || value > high {
		c.addFault("limits."+key, fmt.Sprintf("%d is not between %d and %d", value, low, high))
	}
}
