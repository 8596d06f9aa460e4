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
	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/service"
)

// isRefusal reports whether a response states that the endpoint did not run the request.
func (f Format) isRefusal(status int, header http.Header) bool {
	return header.Get(f.NotRun) != "" || status == http.StatusMisdirectedRequest
}

// Check rejects a response that carries the id of another request, a signed response without an id, a refusal without an
// id on a connection that carried another request before, a response to a request with an id that is neither signed nor a
// refusal, and a response whose body is encoded. SendFunc rejects an unsigned response to a request without an id.
//
// A refusal without an id comes from an endpoint that has not read the request, as one that refuses a connection. On a
// kept connection it may be an earlier refusal that a faulty endpoint wrote once more, so it proves nothing there.
func (f Format) Check(r booking.Request, head booking.ResponseHead) error {
	want, got := r.Header.Get(f.RequestID), head.Header.Get(f.RequestID)
	signed := head.Header.Get(f.Signature) != ""
	switch {
	case got != "" && got != want:
		return MismatchedResponseError{Want: want, Got: got, Reason: "other request id"}
	case signed && got != want:
		return MismatchedResponseError{Want: want, Got: got, Reason: "no request id"}
	case got != want && head.ConnectionReused && f.isRefusal(head.Status, head.Header):
		return MismatchedResponseError{Want: want, Got: got, Reason: "refusal without a request id on a kept connection"}
	case want != "" && !signed && !f.isRefusal(head.Status, head.Header):
		return MismatchedResponseError{Want: want, Got: got, Reason: "no signature"}
	case head.Header.Get("Content-Encoding") != "":
		return MismatchedResponseError{Want: want, Got: got, Reason: "encoded body"}
	}
	return nil
}

// SendFunc returns the function with which a booking.Sender sends one attempt. It passes the result of each attempt to
// logAttempt.
func (f Format) SendFunc(
	client *service.Client, logAttempt func(r booking.Request, choice route.Choice, status int, err error),
) func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
	return func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
		deadline, _ := ctx.Deadline()
		r.Header = r.Header.Clone()
		f.setAttemptHeaders(r.Header, choice, deadline)
		response, err := client.Send(ctx, choice.Address(), r)
		if err == nil && response.Header.Get(f.Signature) == "" && !f.isRefusal(response.Status, response.Header) {
			err = errors.Trace(service.ResponseError{
				Endpoint: choice.Address(), Status: response.Status,
				Cause: MismatchedResponseError{Want: r.Header.Get(f.RequestID), Reason: "no signature"},
			})
		}
		logAttempt(r, choice, response.Status, err)
		return response, err
	}
}

// Classify derives from the result of an attempt whether the request has run.
func (f Format) Classify(call booking.Call, response booking.Response, err error) failure.Outcome {
	switch {
	case err != nil && failure.Of(err).Outcome() == failure.NotRun:
		return failure.NotRun
	case err != nil:
		return failure.Unknown
	case f.isRefusal(response.Status, response.Header):
		return failure.NotRun
	case call.Kind == config.KindIdempotent && response.Status >= http.StatusInternalServerError:
		// Another endpoint may succeed; if none does, the caller gets this response.
		return failure.Unknown
	case call.Kind != config.KindIdempotent && booking.PromisesNotRun(response.Status):
		// Without the mark of a refusal, the endpoint may have run the request before it failed. A caller that gets such a
		// status sends the request again.
		return failure.Unknown
	default:
		return failure.Ran
	}
}

// writeResponse passes an endpoint's response on to the caller. An error means that the caller has disconnected.
func writeResponse(w http.ResponseWriter, status int, header http.Header, body []byte) error {
	copyHeader(w.Header(), header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return generation.CallerGoneError{Cause: err}
	}
	return nil
}

// copyHeader copies all headers but Content-Length and those that concern only the endpoint's connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if name != "Content-Length" && !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing the type from the body.
		to["Content-Type"] = nil
	}
}

// statusByCode maps failure codes to HTTP status codes. For other codes the status follows from the outcome.
var statusByCode = map[string]int{
	"no-route":        http.StatusNotFound,
	"unknown-key":     http.StatusUnauthorized,
	"body-too-large":  http.StatusRequestEntityTooLarge,
	"body-incomplete": http.StatusBadRequest,
	"body-timeout":    http.StatusRequestTimeout,
}

// statusOf returns the HTTP status of a failed request. A status that tells the caller that the request did not run is
// returned only if that is certain.
func statusOf(err error, deadline time.Time) int {
	f := failure.Of(err)
	if status, found := statusByCode[f.Code()]; found {
		return status
	}
	if f.Outcome() == failure.NotRun {
		return http.StatusServiceUnavailable
	}
	if _, stopped := errors.AsType[StoppedError](err); stopped || time.Until(deadline) <= 0 {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
