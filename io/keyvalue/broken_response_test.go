package keyvalue_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/io/keyvalue"
)

// storeCalls are calls of the key-value service with the body of a whole response. Responses to calls without one have
// only a status.
var storeCalls = map[string]struct {
	body  string
	write bool
	call  func(ctx context.Context, client *keyvalue.Client) error
}{
	"list": {body: `{"items":[{"key":"a/1","value":"dg==","revision":3},{"key":"a/2"}],"revision":7}`, call: func(ctx context.Context, client *keyvalue.Client) error {
		_, _, err := client.Store().List(ctx, "a/")
		return err
	}},
	"watch": {body: `{"items":[],"revision":7}`, call: func(ctx context.Context, client *keyvalue.Client) error {
		_, _, err := client.Store().Watch(ctx, "a/", kv.NewRevision(0, 3), time.Millisecond)
		return err
	}},
	"put": {body: `{"revision":33}`, write: true, call: func(ctx context.Context, client *keyvalue.Client) error {
		_, err := client.Store().Put(ctx, "a/1", []byte("v"), kv.Revision{}, kv.Lease{})
		return err
	}},
	"grant": {body: `{"lease":"l-1"}`, write: true, call: func(ctx context.Context, client *keyvalue.Client) error {
		_, err := client.Store().Grant(ctx, time.Second)
		return err
	}},
	"renew": {write: true, call: func(ctx context.Context, client *keyvalue.Client) error {
		return client.Store().Renew(ctx, kv.NewLease(0, "l"))
	}},
	"instances": {body: `{"sequence":7,"instances":[{"address":"10.0.0.1:80"}]}`, call: func(ctx context.Context, client *keyvalue.Client) error {
		list := keyvalue.InstanceList{Client: client}
		changed, err := list.Read(ctx)
		if err != nil && (changed || len(list.Endpoints()) > 0) {
			return nil
		}
		return err
	}},
}

// wholeResponses returns a response with each way to state the end of its body.
func wholeResponses(body string) map[string]string {
	return map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"neither": "HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + body,
	}
}

// Guards against a response of the key-value service that broke off and passes for a whole one, such as a shorter list, and
// against a write that may have taken effect and is reported as one that did not, or sent again.
func TestBrokenResponsesAreNotWhole(t *testing.T) {
	for name, tt := range storeCalls {
		for framing, whole := range wholeResponses(tt.body) {
			if tt.body == "" && framing != "length" {
				continue
			}
			for _, reset := range []bool{false, true} {
				if reset && framing == "chunks" {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, framing, reset), func(t *testing.T) {
					t.Parallel()
					var length, calls atomic.Int64
					client := clientFor(t, func(w http.ResponseWriter, r *http.Request) {
						calls.Add(1)
						_, _ = io.Copy(io.Discard, r.Body)
						breakOff(w, whole[:length.Load()], reset)
					})
					for length.Load() < int64(len(whole)) {
						text := whole[:length.Load()]
						calls.Store(0)
						err := tt.call(t.Context(), client)
						require.Error(t, err, "%q", text)
						unavailable, ok := errors.AsType[kv.UnavailableError](err)
						require.True(t, ok, "%q: %v", text, err)
						require.Equal(t, tt.write, unavailable.MayHaveTakenEffect, "%q", text)
						require.EqualValues(t, 1, calls.Load())
						length.Add(1)
					}
					if !reset {
						require.NoError(t, tt.call(t.Context(), client), strings.TrimSpace(whole))
					}
				})
			}
		}
	}
}

// breakOff writes a part of a response and closes or resets the connection.
func breakOff(w http.ResponseWriter, part string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, part)
	if reset {
		// The reset discards what the client has not read yet.
		time.Sleep(100 * time.Microsecond)
		_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
	}
}
