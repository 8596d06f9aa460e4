package daemon

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/booking"
	"radishhollow/core/failure"
	"radishhollow/core/route"
	"radishhollow/io/service"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

// LimitedError reports a call that is not sent because of the limit that its endpoint has named.
type LimitedError struct{ Endpoint string }

func (e LimitedError) Error() string {
	return fmt.Sprintf("the limit of endpoint %s leaves no place for a call", e.Endpoint)
}

func (e LimitedError) Code() string { return "endpoint-limited" }

func (e LimitedError) Outcome() failure.Outcome { return failure.NotRun }

// RestingError reports a call that is not sent because its endpoint wants no requests at present.
type RestingError struct{ Endpoint string }

func (e RestingError) Error() string {
	return fmt.Sprintf("endpoint %s wants no requests at present", e.Endpoint)
}

func (e RestingError) Code() string { return "endpoint-resting" }

func (e RestingError) Outcome() failure.Outcome { return failure.NotRun }

// announcements passes on to the routing table what endpoints announce in the heads of their responses.
type announcements struct {
	table   *route.Table
	metrics *telemetry.Metrics
	log     *logrus.Logger
}

func newAnnouncements(table *route.Table, m *telemetry.Metrics, log *logrus.Logger) *announcements {
	m.Gauge(telemetry.LeavingEndpoints, func() float64 {
		leaving, _ := table.CountAnnounced()
		return float64(leaving)
	})
	m.Gauge(telemetry.RestingEndpoints, func() float64 {
		_, resting := table.CountAnnounced()
		return float64(resting)
	})
	m.Gauge(telemetry.StatedSlowdown, table.HighestSlowdown)
	return &announcements{table: table, metrics: m, log: log}
}

// observe records what the endpoint of a choice has announced in a response to a request. A response that names no request
// may be a late one if its connection carried another request before, so it is ignored.
func (a *announcements) observe(choice route.Choice, requestID string, head booking.ResponseHead) {
	if requestID == "" && head.ConnectionReused {
		return
	}
	announcement, err := platform.DecodeAnnouncement(head.Status, head.Header)
	if err != nil {
		a.metrics.Count(telemetry.Announcements, "malformed")
	}
	a.observeLimit(choice, head)
	a.observeLoad(choice, head)
	if announcement == (route.Announcement{}) {
		return
	}
	news := a.table.RecordAnnouncement(choice, announcement)
	entry := a.log.WithFields(logrus.Fields{"endpoint": choice.Incarnation(), "address": choice.Address(), "request": requestID})
	if news.Leaving {
		a.metrics.Count(telemetry.Announcements, "leaving")
		entry.Info("endpoint announces that it leaves")
	}
	if news.Rest > 0 {
		a.metrics.Count(telemetry.Announcements, "rest")
		entry.WithField("rest-ms", news.Rest.Milliseconds()).Info("endpoint wants no requests")
	}
}

// observeLimit records the limit that the endpoint of a choice has named in a response, that it is brittle, or neither.
func (a *announcements) observeLimit(choice route.Choice, head booking.ResponseHead) {
	state, rate, err := platform.DecodeLimit(head.Status, head.Header)
	if err != nil {
		a.metrics.Count(telemetry.Announcements, "malformed")
	}
	brittleness, err := platform.DecodeBrittleness(head.Status, head.Header)
	if err != nil {
		a.metrics.Count(telemetry.Announcements, "malformed")
	}
	if brittleness.Brittle && state != route.LimitNamed {
		a.table.RecordBrittle(choice, brittleness.MaxRejections, brittleness.Rejected)
		return
	}
	a.table.RecordLimit(choice, state, rate)
}

// observeLoad records the load that the endpoint of a choice has stated with four figures in a response.
func (a *announcements) observeLoad(choice route.Choice, head booking.ResponseHead) {
	load, form := platform.DecodeStatedLoad(head.Status, head.Header)
	if form == platform.LoadAbsent {
		return
	}
	a.metrics.Count(telemetry.LoadHeaders, string(form))
	if form == platform.LoadFourFigures {
		a.table.RecordStatedLoad(choice, load)
	}
}

// observer returns a function that observes the response to a call to the listed endpoint at an address.
func (a *announcements) observer(address string) func(head booking.ResponseHead) {
	choice, listed := a.table.Listed(address)
	if !listed {
		return nil
	}
	return func(head booking.ResponseHead) { a.observe(choice, "", head) }
}

// send returns a function that observes the responses of a function that sends callers' requests, whose ids are in a header.
func (a *announcements) send(
	idHeader string, send func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error),
) func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
	return func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
		r.OnHead = func(head booking.ResponseHead) { a.observe(choice, r.Header.Get(idHeader), head) }
		return send(ctx, choice, r)
	}
}

// sendControl sends a call of this daemon to an endpoint, unless the endpoint rests or its limit leaves no place.
func (a *announcements) sendControl(
	ctx context.Context, client *service.Client, address string, r booking.Request,
) (booking.Response, error) {
	if a.table.Resting(address) {
		return booking.Response{}, errors.Trace(RestingError{Endpoint: address})
	}
	if !a.table.TakeLimited(address) {
		return booking.Response{}, errors.Trace(LimitedError{Endpoint: address})
	}
	r.OnHead = a.observer(address)
	return client.Send(ctx, address, r)
}
