package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// registerTimeout bounds one registration request to the platform.
const registerTimeout = 5 * time.Second

// Instance is one row of the platform's instance list.
type Instance struct {
	Address string `json:"address"`
	// Incarnation is the id of one start of the process at the address.
	Incarnation string `json:"incarnation"`
	Place       string `json:"place"`
	// Kind is "entry" (a daemon), "model" (an engine) or "service" (a service runner).
	Kind string `json:"kind"`
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Register adds an instance to the instance list of the platform at the given host and port, or replaces the row with
// the same address. If the platform rejects the request, the error is a RegisterError.
func Register(ctx context.Context, platform string, instance Instance) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(instance)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+platform+"/instances", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Annotate(err, "register")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return RegisterError{Platform: platform, Status: resp.StatusCode}
	}
	return nil
}
