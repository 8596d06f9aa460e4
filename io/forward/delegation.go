package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/reach"
	"radishhollow/io/service"
	"radishhollow/io/telemetry"
)

// maxHelpers is the number of peers that are asked to serve one request. Each refusal takes a round trip.
const maxHelpers = 3

// delegationContextKey is the key of the context value with the delegation of a peer's request.
type delegationContextKey struct{}

func delegationOf(ctx context.Context) *reach.Delegation {
	delegation, _ := ctx.Value(delegationContextKey{}).(*reach.Delegation)
	return delegation
}

// DelegatedHandler returns a function that serves requests of peers' callers, as the handler of NewHTTPServer does with
// those of this daemon's own.
func (s *Server) DelegatedHandler() func(w http.ResponseWriter, r *http.Request, delegation *reach.Delegation) {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.NoRoute(s.handle)
	return func(w http.ResponseWriter, r *http.Request, delegation *reach.Delegation) {
		s.delegated.Add(1)
		defer s.delegated.Add(-1)
		router.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), delegationContextKey{}, delegation)))
	}
}

// DelegatedCount returns the number of requests that are being served for peers.
func (s *Server) DelegatedCount() int { return int(s.delegated.Load()) }

// admitDelegated refuses a peer's request that this daemon can't serve either. It is never delegated again.
func (s *Server) admitDelegated(q *request) error {
	if q.delegation == nil {
		return nil
	}
	var err error
	switch {
	case s.Stranded != nil && s.Stranded(context.Background()):
		err = StrandedError{}
	case s.MaxDelegated > 0 && s.delegated.Load() > int64(s.MaxDelegated):
		err = DelegationLimitError{Limit: s.MaxDelegated}
	}
	if err != nil {
		s.Metrics.Count(telemetry.Delegations, "rejected")
		return errors.Trace(err)
	}
	s.Metrics.Count(telemetry.Delegations, "served")
	return nil
}

// recordRequest adds a request to the retry budget of the daemon that sends it to endpoints, once.
func (s *Server) recordRequest(q *request) {
	if q.delegation == nil || !q.delegation.Counted {
		s.RecordRequest(q.service.Name)
		q.counted = true
	}
}

// isStranded reports whether requests are delegated because this daemon reaches no endpoint.
func (s *Server) isStranded(ctx context.Context) bool { return s.Stranded != nil && s.Stranded(ctx) }

// endWhenStranded returns a context for the direct sends of an idempotent call that ends when this daemon becomes stranded,
// so that a peer may serve it. A call that must not be repeated is left to its end.
func (s *Server) endWhenStranded(ctx context.Context, q *request) (context.Context, context.CancelFunc) {
	if s.StrandedEpisode == nil || q.route.Kind != config.KindIdempotent || q.delegation != nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.StrandedEpisode(), func() { cancel(StrandedError{}) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// mayDelegate reports whether a peer may serve a call whose direct sends have failed, because this daemon turned out to be
// stranded. A call that must not be repeated may be delegated only if it has not run.
func (s *Server) mayDelegate(ctx context.Context, q *request, err error) bool {
	if q.delegation != nil || ctx.Err() != nil || s.ended() || time.Until(q.deadline) <= 0 {
		return false
	}
	if q.route.Kind != config.KindIdempotent && failure.Of(err).Outcome() != failure.NotRun {
		return false
	}
	return s.isStranded(ctx)
}

// delegateCall passes a request whose response is read completely on to a peer, and its response to the caller.
func (s *Server) delegateCall(c *gin.Context, q *request) error {
	ctx, cancel := s.withEnding(c.Request.Context(), func() bool { return true })
	defer cancel()
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, q.deadline, q.deadlineError())
	defer cancelDeadline()
	for {
		opened, err := s.openAtPeer(ctx, c.Request, q, reach.Delegation{Counted: q.counted}, 0)
		if err != nil {
			return s.explainDelegated(ctx, err)
		}
		stop := context.AfterFunc(ctx, opened.cancel)
		body, release, err := s.ReadDelegated(opened.address, opened.response, service.DefaultMaxResponseBytes)
		stop()
		opened.cancel()
		if err == nil {
			err = writeResponse(c.Writer, opened.response.StatusCode, opened.response.Header, body)
			release()
			return err
		}
		release()
		err = DelegationLostError{Peer: opened.address, Result: failure.Unknown, Cause: err}
		if ctx.Err() != nil || q.route.Kind != config.KindIdempotent || !s.TakeRetry(q.service.Name) {
			return s.explainDelegated(ctx, err)
		}
	}
}

// explainDelegated returns a StoppedError in place of err if the end of the daemon has ended the request.
func (s *Server) explainDelegated(ctx context.Context, err error) error {
	if isStopped(ctx) {
		return errors.Trace(StoppedError{Result: failure.Of(err).Outcome(), Cause: err})
	}
	return errors.Trace(err)
}

// peerResponse is the response of a peer that serves a request, with its body unread.
type peerResponse struct {
	address  string
	response *http.Response
	cancel   context.CancelFunc
	// version is that of the endpoint that serves a stream.
	version streamVersion
}

// openAtPeer sends a request to peers until one of them does not refuse it. The stream goes on after the given event. A
// request that a peer may have run is sent to another one only if it may be repeated, within the retry budget.
func (s *Server) openAtPeer(ctx context.Context, r *http.Request, q *request, delegation reach.Delegation, offset int) (peerResponse, error) {
	var last error = NoHelperError{}
	for n, address := range s.Helpers(q.document.Revision()) {
		if n >= maxHelpers || ctx.Err() != nil {
			break
		}
		sent := delegation
		opened, err := s.sendToPeer(ctx, address, s.delegatedRequest(r, q, offset), &sent)
		s.logDelegated(q, address, opened.response, err)
		if err == nil {
			return opened, nil
		}
		last = err
		if failure.Of(err).Outcome() == failure.NotRun {
			continue
		}
		if ctx.Err() != nil || !q.mayRepeat() || !s.TakeRetry(q.service.Name) {
			return peerResponse{}, err
		}
		delegation.Counted = true
	}
	return peerResponse{}, last
}

// mayRepeat reports whether a request may be sent again although it may have run.
func (q *request) mayRepeat() bool {
	return q.route.Kind == config.KindIdempotent || q.route.Kind == config.KindStream && q.route.Resumable
}

// delegatedRequest returns the caller's own request with the remaining time.
func (s *Server) delegatedRequest(r *http.Request, q *request, offset int) booking.Request {
	header := r.Header.Clone()
	for _, name := range slices.Concat(hopByHop, header.Values("Connection"), []string{"Expect", "Content-Length"}) {
		header.Del(strings.TrimSpace(name))
	}
	header.Set(s.Format.Deadline, strconv.FormatInt(max(time.Until(q.deadline).Milliseconds(), 1), 10))
	if offset > 0 {
		header.Set(s.Format.LastEventID, strconv.Itoa(offset))
	}
	return booking.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.body, ReuseConnection: q.mayRepeat(),
	}
}

// sendToPeer sends a request to one peer. Its error has the outcome failure.NotRun if the peer did not get the request, or
// has refused it.
func (s *Server) sendToPeer(ctx context.Context, address string, r booking.Request, delegation *reach.Delegation) (peerResponse, error) {
	s.Metrics.Count(telemetry.Delegations, "sent")
	response, cancel, err := s.Delegate(ctx, address, r, delegation)
	if err != nil {
		s.Metrics.Count(telemetry.Delegations, "lost")
		return peerResponse{}, errors.Trace(DelegationLostError{Peer: address, Result: failure.Of(err).Outcome(), Cause: err})
	}
	opened := peerResponse{address: address, response: response, cancel: cancel}
	opened.version.text, opened.version.known = delegation.Served()
	if response.Header.Get(s.Format.Signature) != "" {
		return opened, nil
	}
	defer cancel()
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	code := strings.TrimSpace(string(text))
	if code == strandedCode {
		s.RecordStranded(address)
	}
	refusal := PeerRefusalError{Peer: address, Status: response.StatusCode, Reason: code, Result: failure.NotRun}
	if response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusServiceUnavailable {
		refusal.Result = failure.Unknown
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 && seconds < maxPassedRetryAfter.Seconds() {
		refusal.After = time.Duration(seconds * float64(time.Second))
	}
	s.Metrics.Count(telemetry.Delegations, "refused")
	return peerResponse{response: response}, errors.Trace(refusal)
}

// maxPassedRetryAfter bounds the Retry-After of a peer that is passed on to a caller.
const maxPassedRetryAfter = time.Hour

func (s *Server) logDelegated(q *request, address string, response *http.Response, err error) {
	fields := logrus.Fields{"request": q.id, "peer": address, "ms": time.Since(q.arrivedAt).Milliseconds()}
	if response != nil {
		fields["status"] = response.StatusCode
	}
	entry := s.Log.WithFields(fields)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("request delegated")
}

// callerGone returns the error of a failed write to the caller.
func callerGone(err error) error { return errors.Trace(generation.CallerGoneError{Cause: err}) }
