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

// statusByOutcome is the entry in statusByCode of a code whose status depends on the outcome of the request. A code
// that is not listed has the same value.
const statusByOutcome = 0

// statusCallerGone is the status that nginx introduced for a request whose caller closed the connection. No caller
// receives it.
const statusCallerGone = 499

// statusByCode maps error codes to HTTP status codes. The status of a code that is not listed depends on the outcome.
var statusByCode = map[string]int{
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
	"engine-lost":              statusByOutcome,
	"wait-exceeded":            statusByOutcome,
	"drain-timeout":            statusByOutcome,
}

// defaultRetryAfter applies to errors without a RetryAfter method.
const defaultRetryAfter = time.Second

// WriteError aborts the handler chain and, unless the response has started, writes the error's status and an error body
// in the format of the OpenAI API.
func WriteError(c *gin.Context, err error) {
	c.Abort()
	if c.Writer.Written() {
		return
	}
	status, _ := statusOf(failure.Of(err))
	header := c.Writer.Header()
	header.Set("Content-Type", "application/json")
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds(err)))
	}
	if failure.Of(err).Outcome() != failure.NotRun {
		// Client libraries retry a request after a 5xx status unless this header forbids it.
		header.Set("X-Should-Retry", "false")
	}
	c.Status(status)
	// A write error means that the caller has disconnected and cannot be told.
	_, _ = c.Writer.Write(errorBody(err))
}

// statusOf returns the HTTP status and the error code of the response. A code that is not in statusByCode is replaced
// by outcome-unknown if the outcome is unknown. Of the codes of calls to plain services, refused, endpoint-unreachable,
// no-endpoint, canceled, claim-failed, claim-expired and not-run become 503, response-omitted becomes 502, and
// malformed-record becomes 502 with the code outcome-unknown.
func statusOf(f failure.Failure) (status int, code string) {
	code = f.Code()
	status, listed := statusByCode[code]
	if status != statusByOutcome {
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
	body.Error.Type = errorType(status)
	body.Error.Code = code
	body.Error.Outcome = f.Outcome().String()
	// Marshaling cannot fail, because the body holds only strings.
	data, _ := json.Marshal(body)
	return data
}

func errorType(status int) string {
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

// retryAfterSeconds returns the value of the Retry-After header. An error sets it by a RetryAfter method. An error that
// has only a field of that name, such as limit.LimitedError, gets defaultRetryAfter.
func retryAfterSeconds(err error) int {
	wait := defaultRetryAfter
	if f, ok := failure.Of(err).(interface{ RetryAfter() time.Duration }); ok && f.RetryAfter() > 0 {
		wait = f.RetryAfter()
	}
	return int(math.Ceil(wait.Seconds()))
}
