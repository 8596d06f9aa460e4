package daemon

import (
	"cmp"
	"math"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"radishhollow/io/connlimit"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

const (
	// connMemoryPercent is the share of the instance's memory that connections may hold, with their heads and the state of
	// their requests. The shares of the bodies and this one stay below heapPercent, and what a connection holds is estimated
	// high.
	connMemoryPercent = 25
	// connDescriptorPercent is the share of the process's descriptors for connections and those to endpoints that their requests
	// need. The rest is for the store, peers, and idle connections to endpoints.
	connDescriptorPercent = 75
	// maxHeadLines is more than a head of 16,384 bytes can have, the largest that operators allow: a line has at least a
	// name, a colon and its end.
	maxHeadLines = 16384 / 3
	// internalHeaderBytes bounds the heads of peers, operators and readiness checks, which are below 2 KB.
	internalHeaderBytes = 64 << 10
	// unknownDescriptors is the usual limit of a process. It applies where neither the settings nor the operating system tell one.
	unknownDescriptors = 1024
	// headSlack is what net/http reads beyond MaxHeaderBytes.
	headSlack = 4 << 10
)

// newConnLimiter returns the memory that the connections of all listeners share.
func newConnLimiter(s settings.Settings, m *telemetry.Metrics, log *logrus.Logger) *connlimit.Limiter {
	l := &connlimit.Limiter{
		Memory: min(int64(s.Forward.MemoryMB)<<20*connMemoryPercent/100,
			maxDescriptors(s)*connDescriptorPercent/100*connlimit.BytesPerDescriptor),
		Count: func(cause string) { m.Count(telemetry.RefusedConns, cause) },
		OnChange: func(refusing bool, cause string) {
			if refusing {
				log.WithField("cause", cause).Warn("refusing connections or heads beyond the limits")
				return
			}
			log.Info("no connection refused for a while")
		},
	}
	m.Gauge(telemetry.OpenConns, func() float64 { return float64(l.Conns()) })
	m.Gauge(telemetry.ConnMemory, func() float64 { return float64(l.Used()) })
	return l
}

// maxDescriptors returns the number of descriptors that the process may open.
func maxDescriptors(s settings.Settings) int64 {
	limit := int64(s.Forward.MaxDescriptors)
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil && (limit == 0 || system.Cur < uint64(limit)) {
		limit = int64(min(system.Cur, math.MaxInt32))
	}
	return cmp.Or(limit, unknownDescriptors)
}

// headLimits returns the limits of the heads of a server.
func headLimits(server *http.Server) connlimit.Limits {
	return connlimit.Limits{
		Bytes: cmp.Or(server.MaxHeaderBytes, http.DefaultMaxHeaderBytes) + headSlack, Lines: maxHeadLines,
	}
}

// limitInternal bounds the connections of an internal listener.
func limitInternal(l *listener, limiter *connlimit.Limiter) {
	l.server.MaxHeaderBytes = internalHeaderBytes
	connlimit.Install(l.server)
	wrap := l.wrapSocket
	l.wrapSocket = func(socket net.Listener) net.Listener {
		if wrap != nil {
			socket = wrap(socket)
		}
		return &connlimit.Listener{
			Listener: socket, Limiter: limiter, Limits: headLimits(l.server), Internal: true, HeadTimeout: l.server.ReadHeaderTimeout,
			Received: received,
		}
	}
}
