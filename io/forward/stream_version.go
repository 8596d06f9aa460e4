package forward

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"radishhollow/core/failure"
	"radishhollow/core/route"
	"radishhollow/core/version"
	"radishhollow/io/telemetry"
)

// streamVersion is the version at which a stream goes on. It has none before its first event.
type streamVersion struct {
	text  string
	known bool
}

// VersionChangedError reports an endpoint that has another version than it had when it was picked, or than the stream.
type VersionChangedError struct {
	Endpoint string
	Version  string
}

func (e VersionChangedError) Error() string {
	return fmt.Sprintf("endpoint %s no longer has version %q", e.Endpoint, e.Version)
}

func (e VersionChangedError) Code() string { return "version-changed" }

func (e VersionChangedError) Outcome() failure.Outcome { return failure.Unknown }

// keepsVersion reports whether the stream may be continued after a loss, and so belongs to a version.
func (h *streamHandler) keepsVersion() bool { return h.request.route.Resumable }

// findVersion finds the version of a stream that the caller takes up again, and returns an error if it is not known or has no
// endpoint.
func (h *streamHandler) findVersion(ctx context.Context) error {
	q := h.request
	if q.delegation != nil && q.delegation.HasVersion {
		h.setVersion(q.delegation.Version)
		return h.checkVersion()
	}
	if q.lastEventID == 0 || !h.keepsVersion() {
		return nil
	}
	found, err := h.server.FindVersion(ctx, h.streamName(q.resumed))
	if err != nil {
		if unknown, ok := errors.AsType[version.UnknownError](err); ok {
			h.server.Metrics.Count(telemetry.StreamVersions, "unknown-"+string(unknown.Reason))
		}
		return err
	}
	h.setVersion(found)
	return h.checkVersion()
}

func (h *streamHandler) streamName(id string) version.Stream {
	return version.Stream{Service: h.request.service.Name, Workspace: h.request.workspace.Name, ID: id}
}

// beginVersion returns once the first event of the stream may be passed on. Its endpoint's version is that of the stream from
// then on.
func (h *streamHandler) beginVersion() error {
	if !h.keepsVersion() || h.currentVersion().known {
		return nil
	}
	h.setVersion(h.choice.Version())
	if h.request.id == "" {
		// No caller can name the stream.
		return nil
	}
	return h.server.BeginStream(h.ctx, h.streamName(h.request.id), h.choice.Version())
}

// checkVersion returns an error if the stream's version has no endpoint that serves.
func (h *streamHandler) checkVersion() error {
	name, current := h.request.service.Name, h.currentVersion()
	if !current.known || h.server.ListsVersion(name, current.text) {
		return nil
	}
	h.server.Metrics.Count(telemetry.StreamVersions, "gone")
	return errors.Trace(version.GoneError{Service: name, Version: current.text})
}

// checkEndpointVersion returns an error if the endpoint of the current attempt does not have the version that the stream goes on at,
// or has started again with another one since it was picked.
func (h *streamHandler) checkEndpointVersion() error {
	current := h.currentVersion()
	if !h.keepsVersion() || h.server.VersionIsListed(h.choice) && (!current.known || current.text == h.choice.Version()) {
		return nil
	}
	h.server.Metrics.Count(telemetry.StreamVersions, "changed")
	return errors.Trace(VersionChangedError{Endpoint: h.choice.Address(), Version: h.choice.Version()})
}

// restrictVersion limits the choice of an endpoint to the version of the stream, if it has one.
func (h *streamHandler) restrictVersion(criteria *route.Criteria) {
	current := h.currentVersion()
	criteria.Version, criteria.HasVersion = current.text, current.known
}

func (h *streamHandler) currentVersion() streamVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

func (h *streamHandler) setVersion(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = streamVersion{text: text, known: true}
}
