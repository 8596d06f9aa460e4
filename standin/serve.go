// Package standin holds what the stand-ins of the outside systems share: serving HTTP, JSON answers and registration.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// maxBody bounds the body of every request, above the largest body that the system forwards (4 MB).
const maxBody = 8 << 20

// Serve listens on an address and serves until ctx ends, then closes all connections at once.
// Ready, where set, gets the bound address.
func Serve(ctx context.Context, listen string, handler http.Handler, ready func(address string)) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{
		Handler:           http.MaxBytesHandler(handler, maxBody),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if ready != nil {
		ready(listener.Addr().String())
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
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

// Cut breaks the connection of a request without an answer. It does not return.
func Cut() {
	panic(http.ErrAbortHandler)
}
