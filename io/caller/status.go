package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"radishhollow/core/failure"
)

// byOutcome marks a code whose status depends on the outcome of the request.
const byOutcome = 0

// statusCallerGone is never seen by a caller; it is the usual status of a request that its caller closed.
const statusCallerGone = 499

// statuses is the only mapping of error codes to HTTP status codes. A code that is not listed is mapped by its
// outcome.
var statuses = map[string]int{
	"unauthorized":             http.StatusUnauthorized,
	"bad-request":              http.StatusBadRequest,
	"unsupported-parameter":    http.StatusBadRequest,
	"resume-mismatch":          http.StatusBadRequest,
	"cursor-malformed":         http.StatusBadRequest,
	"cursor-other-prompt":      http.StatusBadRequest,
	"cursor-forged":            http.StatusForbidden,
	"cursor-foreign-workspace": http.StatusForbidden,
	"cursor-expired":           http.StatusGone,
	"cursor-lost":              http.StatusGone,
	"model-not-found":          http.StatusNotFound,
	"not-found":                http.StatusNotFound,
	"unknown-service":          http.StatusNotFound,
	"invalid-idempotency-key":  http.StatusBadRequest,
	"body-incomplete":          http.StatusBadRequest,
	"key-reused":               http.StatusUnprocessableEntity,
	"body-too-large":           http.StatusRequestEntityTooLarge,
	"overloaded":               http.StatusTooManyRequests,
	"limited":                  http.StatusTooManyRequests,
	"not-ready":                http.StatusServiceUnavailable,
	"tokenize-failed":          http.StatusServiceUnavailable,
	"outcome-unknown":          http.StatusBadGateway,
	"spec-lost":                http.StatusBadGateway,
	"caller-gone":              statusCallerGone,
	"superseded":               http.StatusConflict,
	"engine-lost":              byOutcome,
	"wait-exceeded":            byOutcome,
}

// defaultRetryAfter is sent where the failure names no time of its own.
const defaultRetryAfter = time.Second

// WriteError writes the status and the error body of the published format for any error, unless the response has
// started, and aborts the handler chain.
func WriteError(c *gin.Context, err error) {
	c.Abort()
	if c.Writer.Written() {
		return
	}
	status, _ := statusOf(failure.Of(err))
	header := c.Writer.Header()
	header.Set("Content-Type", "application/json")
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(retryAfter(err)))
	}
	if failure.Of(err).Outcome() != failure.NotRun {
		// Client libraries repeat a request after a 5xx by themselves unless this header forbids it.
		header.Set("X-Should-Retry", "false")
	}
	c.Status(status)
	// A caller that has gone needs no error.
	_, _ = c.Writer.Write(errorBody(err))
}

// statusOf returns the HTTP status and the code that the caller sees.
func statusOf(f failure.Failure) (status int, code string) {
	code = f.Code()
	status, listed := statuses[code]
	if status != byOutcome {
		return status, code
	}
	if f.Outcome() == failure.NotRun {
		return http.StatusServiceUnavailable, code
	}
	if !listed && f.Outcome() == failure.Unknown {
		code = "outcome-unknown"
	}
	return http.StatusBadGateway, code
}

func errorBody(err error) []byte {
	f := failure.Of(err)
	status, code := statusOf(f)
	var body struct {
		Error struct {
			Message string  `json:"message"`
			Type    string  `json:"type"`
			Code    string  `json:"code"`
			Param   *string `json:"param"`
			Outcome string  `json:"outcome"`
		} `json:"error"`
	}
	body.Error.Message = f.Error()
	body.Error.Type = typeOf(status)
	body.Error.Code = code
	body.Error.Outcome = f.Outcome().String()
	// The body holds only strings, so that encoding cannot fail.
	data, _ := json.Marshal(body)
	return data
}

func typeOf(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// retryAfter returns whole seconds. A failure may name its own time by a method RetryAfter.
func retryAfter(err error) int {
	wait := defaultRetryAfter
	if f, ok := failure.Of(err).(interface{ RetryAfter() time.Duration }); ok && f.RetryAfter() > 0 {
		wait = f.RetryAfter()
	}
	return int(math.Ceil(wait.Seconds()))
}
