package service

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/claim"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/kv"
	"radishhollow/core/route"
)

// newRecordStore returns an in-memory key-value store for idempotency records.
func newRecordStore() kv.Store {
	var mu sync.Mutex
	entries, revision := map[string]kv.Entry{}, kv.Revision{}
	return kv.Store{
		Grant: func(context.Context, time.Duration) (kv.Lease, error) { return kv.NewLease(0, "l"), nil },
		Get: func(_ context.Context, key string) (kv.Entry, error) {
			mu.Lock()
			defer mu.Unlock()
			return entries[key], nil
		},
		Put: func(_ context.Context, key string, value []byte, ifRevision kv.Revision, _ kv.Lease) (kv.Revision, error) {
			mu.Lock()
			defer mu.Unlock()
			if current := entries[key].Revision(); current != ifRevision {
				return kv.Revision{}, kv.ConflictError{Key: key, Current: current}
			}
			revision = revision.Next()
			entries[key] = kv.NewEntry(key, value, revision, false)
			return revision, nil
		},
	}
}

// newBrokenSender returns a sender to two addresses of a server that breaks off each answer.
func newBrokenSender(t *testing.T, server *breakingServer) *booking.Sender {
	t.Helper()
	address, client := server.start(t), newClient(t)
	return &booking.Sender{
		Pick: func(_ context.Context, criteria route.Criteria) (route.Choice, error) {
			for _, incarnation := range []string{"1", "2"} {
				if !criteria.Exclude[address+"/"+incarnation] {
					return route.NewChoice(address+"/"+incarnation, incarnation, "", nil), nil
				}
			}
			return route.Choice{}, errors.New("no endpoint is left")
		},
		Send: func(ctx context.Context, _ route.Choice, r booking.Request) (booking.Response, error) {
			return client.Send(ctx, address, r)
		},
		TakeRetry: func(booking.Call) bool { return true },
		Claim:     (&claim.Recorder{Store: newRecordStore()}).Claim,
		Timeout:   5 * time.Second,
	}
}

// Guards against a booking whose answer broke off and that is sent again, reported as not run or answered with success, also
// when its caller repeats it under the same idempotency key.
func TestBookingsWithBrokenAnswersAreUnknown(t *testing.T) {
	whole := wholeAnswers["length"]
	server := &breakingServer{answer: whole}
	sender := newBrokenSender(t, server)
	requireUnknown := func(call booking.Call, runs int32) {
		t.Helper()
		server.broken.Store(0)
		response, err := sender.Do(t.Context(), call)
		require.Error(t, err, "%s %s", call.Request.Method, call.Request.Path)
		require.Equal(t, failure.Unknown, failure.Of(err).Outcome(), "%v", err)
		require.Zero(t, response.Status)
		require.Equal(t, runs, server.broken.Load())
	}
	for k := range whole {
		request := booking.Request{Method: http.MethodPost, Path: "/" + strconv.Itoa(k), Body: []byte("room")}
		requireUnknown(booking.Call{Request: request}, 1)
		keyed := booking.Call{Workspace: "w", Service: config.Service{Name: "s"}, Key: strconv.Itoa(k), Request: request}
		requireUnknown(keyed, 1)
		requireUnknown(keyed, 0)
		requireUnknown(booking.Call{Request: request, Kind: config.KindIdempotent, MaxAttempts: 2}, 2)
	}
}
