// Package standin provides what the stand-ins for external systems share: an HTTP server, JSON responses and
// registration at the platform.
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

// maxBodyBytes bounds the body of a request. It is above the largest body that the system forwards (4 MB).
const maxBodyBytes = 8 << 20

// Serve listens on an address and serves until ctx ends. It then closes all connections immediately, waits for their
// handlers and returns nil. If ready is set, it is called with the bound address.
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
		// StateNew is reported within server.Serve and StateClosed at the end of the connection's goroutine, so that no
		// Add races with the Wait below.
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

// WriteJSON writes a response with a status code and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError writes an error response whose JSON body carries the error code.
func WriteError(w http.ResponseWriter, status int, code string) {
	WriteJSON(w, status, map[string]any{"error": map[string]any{"code": code, "message": code}})
}

// Refuse writes an error response that states that the request did not run (Not-Run) and may be retried after one
// second.
func Refuse(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Retry-After", "1")
	WriteError(w, status, code)
}

// ReadJSON decodes the JSON body of a request. If that fails, it responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		WriteError(w, http.StatusBadRequest, "malformed-body")
		return false
	}
	return true
}

// Sleep waits for d and returns false if stop is closed first. It does not end with the caller's connection, because a
// request whose caller has disconnected may still take effect.
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

// AbortConnection aborts the handler and closes the connection of the request without completing the response. It does
// not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
