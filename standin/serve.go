// Package standin holds what the stand-ins of the outside systems share: serving HTTP, JSON answers and registration.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// maxBodyBytes bounds the body of every request, above the largest body that the system forwards (4 MB).
const maxBodyBytes = 8 << 20

// Serve listens on an address and serves until ctx ends, then closes all connections at once and waits for their
// handlers.
// Ready, where set, gets the bound address.
func Serve(ctx context.Context, listen string, handler http.Handler, ready func(address string)) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return errors.Trace(err)
	}
	var connections sync.WaitGroup
	server := &http.Server{
		Handler:           http.MaxBytesHandler(handler, maxBodyBytes),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		// A connection becomes new within Serve and closed at the end of its goroutine.
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				connections.Add(1)
			case http.StateClosed:
				connections.Done()
			}
		},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if ready != nil {
		ready(listener.Addr().String())
	}
	err = server.Serve(listener)
	connections.Wait()
	if !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

// WriteJSON answers with a status code and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError answers with an error body that carries a code.
func WriteError(w http.ResponseWriter, status int, code string) {
	WriteJSON(w, status, map[string]any{"error": map[string]any{"code": code, "message": code}})
}

// Refuse answers that the request did not run.
func Refuse(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Retry-After", "1")
	WriteError(w, status, code)
}

// ReadJSON decodes the body of a request, or answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		WriteError(w, http.StatusBadRequest, "malformed-body")
		return false
	}
	return true
}

// Sleep waits and reports false where stop was closed first. It does not depend on the caller's connection, because a
// request that a caller has given up may still take effect.
func Sleep(stop <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-stop:
		return false
	case <-timer.C:
		return true
	}
}

// AbortConnection breaks the connection of a request without an answer. It does not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
