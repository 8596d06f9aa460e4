package forward

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/route"
	"radishhollow/io/service"
)

// refused tells whether an answer says that the endpoint did not run the request.
func (f Format) refused(status int, header http.Header) bool {
	return header.Get(f.NotRun) != "" || status == http.StatusMisdirectedRequest
}

// Check refuses answers that belong to another request, or that no endpoint has made.
func (f Format) Check(r booking.Request, header http.Header) error {
	want, got := r.Header.Get(f.RequestID), header.Get(f.RequestID)
	signed := header.Get(f.Signature) != ""
	switch {
	case got != "" && got != want:
		return CrossedError{Want: want, Got: got, Reason: "other request id"}
	case signed && got != want:
		return CrossedError{Want: want, Got: got, Reason: "no request id"}
	case header.Get("Content-Encoding") != "":
		return CrossedError{Want: want, Got: got, Reason: "encoded body"}
	}
	return nil
}

// SendFunc returns the function by which a booking.Sender sends one attempt. Sent is told how each attempt ended.
func (f Format) SendFunc(
	client *service.Client, sent func(r booking.Request, choice route.Choice, status int, err error),
) func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
	return func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
		deadline, _ := ctx.Deadline()
		r.Header = r.Header.Clone()
		f.prepare(r.Header, choice, deadline)
		response, err := client.Send(ctx, choice.Address(), r)
		if err == nil && response.Header.Get(f.Signature) == "" && !f.refused(response.Status, response.Header) {
			err = errors.Trace(service.ResponseError{
				Endpoint: choice.Address(), Status: response.Status,
				Cause: CrossedError{Want: r.Header.Get(f.RequestID), Reason: "no signature"},
			})
		}
		sent(r, choice, response.Status, err)
		return response, err
	}
}

// Classify tells what an attempt's end says about the request.
func (f Format) Classify(call booking.Call, response booking.Response, err error) failure.Outcome {
	switch {
	case err != nil && failure.Of(err).Outcome() == failure.NotRun:
		return failure.NotRun
	case err != nil:
		return failure.Unknown
	case f.refused(response.Status, response.Header):
		return failure.NotRun
	case call.Kind == config.KindIdempotent && response.Status >= http.StatusInternalServerError:
		// Another endpoint may do better; if none does, the caller gets this answer.
		return failure.Unknown
	default:
		return failure.Ran
	}
}

// writeAnswer passes an endpoint's answer on.
func writeAnswer(w http.ResponseWriter, status int, header http.Header, body []byte) {
	copyHeader(w.Header(), header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_, _ = w.Write(body)
}

// copyHeader copies what does not concern the endpoint's connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if name != "Content-Length" && !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		// net/http would guess one from the body.
		to["Content-Type"] = nil
	}
}

// statuses maps codes of failures to HTTP status codes; others follow the outcome.
var statuses = map[string]int{
	"no-route":        http.StatusNotFound,
	"unknown-key":     http.StatusUnauthorized,
	"body-too-large":  http.StatusRequestEntityTooLarge,
	"body-incomplete": http.StatusBadRequest,
}

// statusOf promises that a request did not run only where that is certain.
func statusOf(err error, deadline time.Time) int {
	f := failure.Of(err)
	if status, known := statuses[f.Code()]; known {
		return status
	}
	if f.Outcome() == failure.NotRun {
		return http.StatusServiceUnavailable
	}
	if time.Until(deadline) <= 0 {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
