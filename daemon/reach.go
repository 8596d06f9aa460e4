package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/core/booking"
	"radishhollow/core/member"
	"radishhollow/core/quarantine"
	"radishhollow/core/reach"
	"radishhollow/core/route"
	"radishhollow/io/forward"
	"radishhollow/io/peer"
	"radishhollow/io/service"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

const (
	// reachProbeTimeout limits a connection attempt that is to show whether this daemon reaches endpoints. A round trip within
	// a region takes a few ms, also between busy machines.
	reachProbeTimeout = 150 * time.Millisecond
	// lateAfter is the time without a response after which a call counts as a sign of a lost way. Calls take some tens of ms.
	lateAfter = 400 * time.Millisecond
	// delegatedPerMB is the number of requests that a daemon serves for its peers at the same time for each MiB of its memory.
	// A stream takes up to some 100 KB.
	delegatedPerMB = 0.5
)

// newDetector returns the detector of a lost way to all endpoints, and makes peers learn its verdict.
func newDetector(
	client *service.Client, table *route.Table, peers *peer.Exchanger, m *telemetry.Metrics, log *logrus.Logger,
) *reach.Detector {
	detector := &reach.Detector{
		Probe: func(ctx context.Context, address string) bool {
			return client.Reachable(ctx, address, reachProbeTimeout)
		},
		Targets: func(n int) []string {
			listings, _ := table.Listings()
			return probeTargets(listings, n)
		},
		OnChange: func(stranded bool) {
			peers.TriggerExchange()
			if stranded {
				log.Warn("no endpoint is reachable; peers serve in place of this daemon")
				return
			}
			log.Info("endpoints are reachable again")
		},
	}
	m.Gauge(telemetry.Stranded, func() float64 {
		if detector.IsStranded() {
			return 1
		}
		return 0
	})
	peers.Node.Contact = func() (stranded bool, age time.Duration) {
		age, known := detector.Contact()
		if !known {
			age = 0
		}
		return detector.IsStranded(), age
	}
	return detector
}

// probeTargets returns the addresses of up to n endpoints, spread over the services.
func probeTargets(listings []route.Listing, n int) []string {
	rand.Shuffle(len(listings), func(i, j int) { listings[i], listings[j] = listings[j], listings[i] })
	byService := map[string][]string{}
	for _, l := range listings {
		if !l.Leaving {
			byService[l.Name] = append(byService[l.Name], l.Address)
		}
	}
	var targets []string
	for len(byService) > 0 {
		for name, addresses := range byService {
			if len(targets) == n {
				return targets
			}
			targets = append(targets, addresses[0])
			if byService[name] = addresses[1:]; len(addresses) == 1 {
				delete(byService, name)
			}
		}
	}
	return targets
}

func newDelegator(lifecycle fx.Lifecycle, s settings.Settings, node *peer.Node, client *service.Client) *peer.Delegator {
	delegator := peer.NewDelegator(&node.Keys, node.Address, s.Timeouts.Connect.Duration, s.Timeouts.EndpointIdle.Duration, client.Memory)
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error { return delegator.Close() }})
	return delegator
}

// useDetector makes the server and the sender of plain calls report their connections, and delegate requests while no
// endpoint is reachable.
func useDetector(
	server *forward.Server, sender *booking.Sender, detector *reach.Detector, delegator *peer.Delegator, members *member.Table,
	s settings.Settings,
) {
	server.Stranded, server.StrandedEpisode = detector.Stranded, detector.Episode
	server.Helpers, server.RecordStranded = members.Helpers, members.SetStranded
	server.Delegate, server.ReadDelegated = delegator.Send, delegator.ReadBody
	server.MaxDelegated = int(float64(s.Forward.MemoryMB) * delegatedPerMB)
	server.Open = reachingOpen(detector, server.Open)
	server.Reachable = reachingProbe(detector, server.Reachable)
	sender.Send = reachingSend(detector, sender.Send)
	recordEnd := server.RecordEnd
	server.RecordEnd = func(incarnation string, parts []quarantine.Part) {
		if !detector.Verify(context.Background()) {
			recordEnd(incarnation, parts)
		}
	}
}

// openFunc is the type of forward.Server.Open.
type openFunc = func(ctx context.Context, address string, r booking.Request) (*http.Response, context.CancelFunc, error)

func reachingOpen(detector *reach.Detector, open openFunc) openFunc {
	return func(ctx context.Context, address string, r booking.Request) (*http.Response, context.CancelFunc, error) {
		response, cancel, err := open(ctx, address, r)
		recordReach(detector, address, true, err)
		return response, cancel, err
	}
}

func reachingSend(detector *reach.Detector, send sendFunc) sendFunc {
	return func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
		late := time.AfterFunc(lateAfter, func() { detector.RecordFailure(choice.Address()) })
		defer late.Stop()
		response, err := send(ctx, choice, r)
		recordReach(detector, choice.Address(), response.ConnectionReused, err)
		return response, err
	}
}

func reachingProbe(detector *reach.Detector, reachable func(ctx context.Context, address string) bool) func(ctx context.Context, address string) bool {
	return func(ctx context.Context, address string) bool {
		reached := reachable(ctx, address)
		switch {
		case reached:
			detector.RecordConnected()
		case ctx.Err() == nil:
			detector.RecordFailure(address)
		}
		return reached
	}
}

// recordReach records what the result of a send tells of the way to its endpoint.
func recordReach(detector *reach.Detector, address string, reused bool, err error) {
	_, unsent := errors.AsType[service.SendError](err)
	switch {
	case errors.Is(err, context.Canceled):
	case unsent:
		detector.RecordFailure(address)
	case reused:
		detector.RecordContact()
	default:
		detector.RecordConnected()
	}
}
