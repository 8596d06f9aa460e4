package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxResponseBytes is the maximum size of a response from a daemon. The status of a fleet of the planned size has about
// 100 KB.
const maxResponseBytes = 8 << 20

// Client calls the operator address of one daemon. Its methods return a ResponseError if the daemon responds with an
// error, and an UnreachableError if there is no valid response. It is safe for concurrent use.
type Client struct {
	// Address is the daemon's operator address in the form IP:PORT.
	Address string
	// Key is the operator key.
	Key string
}

// clientTimeout limits the duration of a call. It is longer than applyTimeout, the server's limit for an apply.
const clientTimeout = 20 * time.Second

var httpClient = &http.Client{
	Timeout:       clientTimeout,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Plan returns the changes that a sheet would make.
func (c Client) Plan(ctx context.Context, sheet string) (Plan, error) {
	return call[Plan](ctx, c, http.MethodPost, "plan", sheet)
}

// Apply puts a sheet in force as the next revision. If base is not nil, it must be the current revision, unless the
// sheet is already in force.
func (c Client) Apply(ctx context.Context, sheet string, base *uint64) (Applied, error) {
	path := "apply"
	if base != nil {
		path += "?base=" + strconv.FormatUint(*base, 10)
	}
	return call[Applied](ctx, c, http.MethodPost, path, sheet)
}

// Status returns the state of the fleet as known to the daemon.
func (c Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "status", "")
}

func call[T any](ctx context.Context, c Client, method, path, body string) (T, error) {
	var result T
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+"/operator/"+path, strings.NewReader(body))
	if err != nil {
		return result, UnreachableError{Address: c.Address, Cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "text/csv; charset=utf-8")
	response, err := httpClient.Do(request)
	if err != nil {
		return result, UnreachableError{Address: c.Address, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode != http.StatusOK {
		var errorBody struct {
			Error Problem `json:"error"`
		}
		if err := decoder.Decode(&errorBody); err != nil || errorBody.Error.Code == "" {
			return result, UnreachableError{Address: c.Address, Cause: StatusError{Status: response.StatusCode}}
		}
		return result, ResponseError{Status: response.StatusCode, Problem: errorBody.Error}
	}
	if err := decoder.Decode(&result); err != nil {
		return result, UnreachableError{Address: c.Address, Cause: err}
	}
	return result, nil
}
