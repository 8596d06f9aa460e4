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

// maxAnswerBytes bounds an answer of an entry; a status of the planned size has about 100 KB.
const maxAnswerBytes = 8 << 20

// Client calls the operator address of one entry.
type Client struct {
	// Entry is the address in the form IP:PORT.
	Entry string
	Key   string
}

// clientTimeout is above the server's bound for an apply.
const clientTimeout = 20 * time.Second

var httpClient = &http.Client{
	Timeout:       clientTimeout,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Plan returns the effect that a sheet would have.
func (c Client) Plan(ctx context.Context, sheet string) (Plan, error) {
	return call[Plan](ctx, c, http.MethodPost, "plan", sheet)
}

// Apply makes a sheet the next revision; base may be nil.
func (c Client) Apply(ctx context.Context, sheet string, base *uint64) (Applied, error) {
	path := "apply"
	if base != nil {
		path += "?base=" + strconv.FormatUint(*base, 10)
	}
	return call[Applied](ctx, c, http.MethodPost, path, sheet)
}

// Status returns what the entry knows of the fleet.
func (c Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "status", "")
}

func call[T any](ctx context.Context, c Client, method, path, body string) (T, error) {
	var result T
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Entry+"/operator/"+path, strings.NewReader(body))
	if err != nil {
		return result, UnreachableError{Entry: c.Entry, Cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "text/csv; charset=utf-8")
	response, err := httpClient.Do(request)
	if err != nil {
		return result, UnreachableError{Entry: c.Entry, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	if response.StatusCode != http.StatusOK {
		var refusal struct {
			Error Problem `json:"error"`
		}
		if err := decoder.Decode(&refusal); err != nil || refusal.Error.Code == "" {
			return result, UnreachableError{Entry: c.Entry, Cause: StatusError{Status: response.StatusCode}}
		}
		return result, RefusedError{Status: response.StatusCode, Problem: refusal.Error}
	}
	if err := decoder.Decode(&result); err != nil {
		return result, UnreachableError{Entry: c.Entry, Cause: err}
	}
	return result, nil
}
