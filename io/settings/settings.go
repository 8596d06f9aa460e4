// Package settings reads the settings file of one daemon.
package settings

import "time"

// Settings holds the settings of one daemon. Addresses have the form IP:PORT.
type Settings struct {
	// Interface selects the interface for callers: InterfaceOwn or InterfaceForward.
	Interface string `toml:"interface"`
	// Place is the data centre or zone of the daemon.
	Place string `toml:"place"`
	// Listen is the address for callers.
	Listen string `toml:"listen"`
	// ReadinessListen is the address for the load balancer's readiness checks. It is used only with InterfaceForward.
	ReadinessListen string `toml:"readiness-listen"`
	// OperatorListen is the address for operators. With InterfaceForward it serves the metrics.
	OperatorListen string `toml:"operator-listen"`
	// PeerListen is the address for other daemons. The daemon is registered under it.
	PeerListen string `toml:"peer-listen"`
	// Platform is the address of the platform.
	Platform string `toml:"platform"`
	// Peers contains the addresses of other daemons that exchanges call in addition to the known peers.
	Peers []string `toml:"peers"`
	// OperatorKeyDigest is the SHA-256 digest of the operator key in hex.
	OperatorKeyDigest string `toml:"operator-key-digest"`
	// CursorKeys contains the keys for the signatures of cursors, in hex. The first key signs, and all are accepted.
	CursorKeys []string `toml:"cursor-keys"`
	// PeerKeys contains the keys for the signatures of messages between daemons, in hex. The first key signs, and all
	// are accepted. They are updated when the settings are reloaded. If there are none, the daemons share keys that they
	// keep in the platform's key-value service (InterfaceForward), or do not sign the messages (InterfaceOwn). Whether a
	// daemon shares keys is decided at its start. If it does, reloaded keys apply only until the shared ones are read
	// again; if it does not, a reload without keys turns the signatures off.
	PeerKeys []string `toml:"peer-keys"`
	// LogLevel is a logrus level: panic, fatal, error, warn or warning, info, debug or trace, in any case. It is
	// updated when the settings are reloaded.
	LogLevel string   `toml:"log-level"`
	Timeouts Timeouts `toml:"timeouts"`
	Limits   Limits   `toml:"limits"`
	Forward  Forward  `toml:"forward"`
}

// Values of Settings.Interface.
const (
	// InterfaceOwn serves the published completions format and takes its configuration from the operators' sheet.
	InterfaceOwn = "own"
	// InterfaceForward forwards requests according to the routes of the operators' platform.
	InterfaceForward = "forward"
)

// Forward holds the limits that apply with InterfaceForward. MemoryMB also bounds the connections with InterfaceOwn.
type Forward struct {
	// RetryRatio is the maximum number of retries per request, over all daemons and within any RetryWindow.
	RetryRatio float64 `toml:"retry-ratio"`
	// RetrySlack is the number of retries that all daemons together may make in addition to RetryRatio.
	RetrySlack int `toml:"retry-slack"`
	// RetryWindow is the length of the window in which retries are counted.
	RetryWindow Duration `toml:"retry-window"`
	// DrainBound and ConfigBound are the times within which a leaving endpoint must get no more requests, and a
	// configuration must be in force, after the key-value service has accepted the change.
	DrainBound  Duration `toml:"drain-bound"`
	ConfigBound Duration `toml:"config-bound"`
	// StopGrace is the time between SIGTERM and SIGKILL in a planned stop. A stopping daemon refuses requests that would
	// not be complete by then. Zero means that there is no such limit.
	StopGrace Duration `toml:"stop-grace"`
	// MemoryMB is the memory of the instance in MiB. The Go heap, the buffered bodies and what all connections hold are
	// limited to fixed shares of it.
	MemoryMB int `toml:"memory-mb"`
	// MaxDescriptors is the number of descriptors that the process may open, where that is less than the limit of the operating
	// system. Zero means that it is not.
	MaxDescriptors int `toml:"max-descriptors"`
	// LinkMbps is the rate of the instance's network link in Mbit/s, or 0 if it is not known.
	LinkMbps float64 `toml:"link-mbps"`
	// Rollouts turns on roll-outs of versions where the file has the table.
	Rollouts Rollouts `toml:"rollouts"`
}

// Rollouts holds the limits for a version that a roll-out observes.
type Rollouts struct {
	// ExposureShare is the part of a service's requests that a bad version may get during its roll-out, over all daemons, and
	// ExposureSlack the number of requests beyond that.
	ExposureShare float64 `toml:"exposure-share"`
	ExposureSlack float64 `toml:"exposure-slack"`
	// RollbackBound is the time after its 50th bad response after which a bad version must get no request.
	RollbackBound Duration `toml:"rollback-bound"`
}

// Enabled reports whether the file has the table.
func (r Rollouts) Enabled() bool { return r != Rollouts{} }

// Timeouts holds timeouts, intervals and expiry times.
type Timeouts struct {
	// QueueWait limits the time that a request waits in this daemon's queue for a slot, and the wait for the first
	// token of a generation that waits in an engine's queue while no attempt has failed. It is used only with
	// InterfaceOwn.
	QueueWait Duration `toml:"queue-wait"`
	// Connect limits the time to establish a connection to an endpoint.
	Connect Duration `toml:"connect"`
	// EndpointIdle is the time after which an idle connection to an endpoint is closed.
	EndpointIdle Duration `toml:"endpoint-idle"`
	// Platform limits the duration of one call to the platform, except a watch.
	Platform Duration `toml:"platform"`
	// Peer limits the duration of one call to another daemon.
	Peer Duration `toml:"peer"`
	// ExchangeInterval is the mean time between exchanges with peers.
	ExchangeInterval Duration `toml:"exchange-interval"`
	// ConfigPoll is the interval of the full reads of the configuration and of the list of daemons, which find changes
	// that the watch missed. It is checked only between two watches, so a read may be late by up to WatchWait, except
	// that of the configuration with InterfaceOwn.
	ConfigPoll Duration `toml:"config-poll"`
	// WatchWait is the longest time that one watch call waits for changes.
	WatchWait Duration `toml:"watch-wait"`
	// InstancePoll is the interval at which the platform's instance list is read. With InterfaceForward, it is the
	// least time between two full reads, which is checked between two watches; changes in the meantime arrive by watch.
	InstancePoll Duration `toml:"instance-poll"`
	// LoadPoll is the interval at which the load report of an endpoint that has work from this daemon is read.
	LoadPoll Duration `toml:"load-poll"`
	// LeaseTTL is the time to live of the place lease and of the registration.
	LeaseTTL Duration `toml:"lease-ttl"`
	// Order limits the duration of one order to an engine. A new lease holder waits for this time in addition to the
	// lease TTL before it sends orders to engines that ignore the fencing token.
	Order Duration `toml:"order"`
	// OrderSettle is the time for which a new lease holder sends no orders, so that the load reports show the effect of
	// its predecessor's orders first.
	OrderSettle Duration `toml:"order-settle"`
	// Isolation is the time without contact with the platform or any peer after which the daemon is not ready. It is also
	// the age above which a peer's demand is out of date.
	Isolation Duration `toml:"isolation"`
	// MarkExpiry is the age above which a mark on an endpoint is removed.
	MarkExpiry Duration `toml:"mark-expiry"`
	// PeerExpiry is the time without messages after which a peer is removed, unless the platform lists it.
	PeerExpiry Duration `toml:"peer-expiry"`
	// Drain limits the wait for the requests in flight in a planned stop, which begins after DrainDelay. With 0, the
	// daemon waits until every request is complete.
	Drain Duration `toml:"drain"`
	// DrainDelay is the time in a planned stop from when the daemon reports that it is not ready until it stops
	// accepting connections. It gives the load balancer time to notice.
	DrainDelay Duration `toml:"drain-delay"`
	// VersionDrain limits the wait, before the version of an engine is changed, for streams that could not resume on any
	// other engine.
	VersionDrain Duration `toml:"version-drain"`
	// CursorExpiry is the age above which a cursor is rejected.
	CursorExpiry Duration `toml:"cursor-expiry"`
	// ClaimWait limits the time that a repeated booking waits for the recorded outcome.
	ClaimWait Duration `toml:"claim-wait"`
	// ClaimExpiry is the time to live of an idempotency record.
	ClaimExpiry Duration `toml:"claim-expiry"`
}

// Limits holds maximum sizes and counts. With InterfaceForward, only ExchangeFanout is used.
type Limits struct {
	// QueueLength is the maximum number of generations, and that of bookings, that wait in this daemon's queue for a
	// slot.
	QueueLength int `toml:"queue-length"`
	// SubsetSize is the number of endpoints per model or service name that the daemon polls and prefers.
	SubsetSize int `toml:"subset-size"`
	// ExchangeFanout is the number of peers that are called in each exchange.
	ExchangeFanout int `toml:"exchange-fanout"`
	// PromptBytes is the maximum size of the body of a generation request.
	PromptBytes int `toml:"prompt-bytes"`
	// BookingBytes is the maximum size of the body of a call to a plain service.
	BookingBytes int `toml:"booking-bytes"`
	// HeaderBytes is the maximum size of the headers of a request.
	HeaderBytes int `toml:"header-bytes"`
}

// Duration is a time.Duration that is written as a string such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	d.Duration = value
	return err
}

// Defaults returns the values of keys that the settings file does not contain.
func Defaults() Settings {
	return Settings{
		Interface: InterfaceOwn,
		LogLevel:  "info",
		Timeouts: Timeouts{
			QueueWait:        Duration{10 * time.Second},
			Connect:          Duration{500 * time.Millisecond},
			EndpointIdle:     Duration{30 * time.Second},
			Platform:         Duration{2 * time.Second},
			Peer:             Duration{time.Second},
			ExchangeInterval: Duration{time.Second},
			// 440 daemons that poll every 10 s use 44 of the 2000 reads per second that the key-value service allows.
			ConfigPoll:   Duration{10 * time.Second},
			WatchWait:    Duration{30 * time.Second},
			InstancePoll: Duration{time.Second},
			LoadPoll:     Duration{250 * time.Millisecond},
			LeaseTTL:     Duration{10 * time.Second},
			Order:        Duration{10 * time.Second},
			OrderSettle:  Duration{5 * time.Second},
			Isolation:    Duration{15 * time.Second},
			MarkExpiry:   Duration{10 * time.Minute},
			PeerExpiry:   Duration{time.Minute},
			DrainDelay:   Duration{5 * time.Second},
			VersionDrain: Duration{10 * time.Minute},
			CursorExpiry: Duration{24 * time.Hour},
			// Callers wait for a few seconds at most, and the record may never be completed if its daemon was lost.
			ClaimWait:   Duration{5 * time.Second},
			ClaimExpiry: Duration{24 * time.Hour},
		},
		Limits: Limits{
			QueueLength:    512,
			SubsetSize:     32,
			ExchangeFanout: 2,
			PromptBytes:    4 << 20,
			BookingBytes:   1 << 20,
			HeaderBytes:    64 << 10,
		},
		Forward: Forward{
			RetryRatio: 0.1, RetrySlack: 20, RetryWindow: Duration{10 * time.Second}, MemoryMB: 256,
			DrainBound: Duration{2 * time.Second}, ConfigBound: Duration{2 * time.Second},
		},
	}
}
