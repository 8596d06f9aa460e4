package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/telemetry"
)

const (
	maxTokenizeAttempts = 3
	// tokenizeTimeout bounds one attempt, so that all attempts (2.4 s) fit into the default max-wait-ms (3 s).
	tokenizeTimeout = 800 * time.Millisecond
)

func (s *Server) handleGeneration(c *gin.Context, chat bool) {
	err := s.serveGeneration(c, chat)
	if err == nil {
		s.Metrics.Count(telemetry.Requests, "ok")
		return
	}
	f := failure.Of(err)
	_, code := statusOf(f)
	s.Metrics.Count(telemetry.Requests, code)
	if f.Outcome() == failure.NotRun {
		s.Metrics.Count(telemetry.Rejections, code)
	}
	// If a stream has started, its streamHandler has already sent the error as an event and WriteError does nothing.
	WriteError(c, err)
}

func (s *Server) serveGeneration(c *gin.Context, chat bool) error {
	r, err := s.parse(c, chat)
	if err != nil {
		return err
	}
	workspace := WorkspaceOf(c)
	if r.encodedCursor != "" {
		codec := generation.CursorCodec{Keys: s.CursorKeys}
		if r.decodedCursor, err = codec.Open(r.encodedCursor, workspace.Name, time.Now()); err != nil {
			return err
		}
	}
	ctx, stop := s.callerContext(c.Request.Context(), func() bool { return !r.begun.Load() })
	defer stop()
	release, err := s.Admit(ctx, workspace, r.cost(), r.encodedCursor != "")
	if err != nil && ended(s.Ending) {
		return StoppedError{Result: failure.NotRun, Cause: err}
	}
	if err != nil {
		return err
	}
	usedTokens := 0
	if release != nil {
		defer func() { release(usedTokens) }()
	}
	s.Metrics.Observe(telemetry.QueueWait, workspace.Name, time.Since(r.arrivedAt))
	if r.prompt == nil {
		if r.prompt, err = s.tokenize(ctx, r, workspace); err != nil {
			return err
		}
	}
	log, attachTo, err := s.newLog(r)
	if err != nil {
		return err
	}
	initialLen := log.Len()
	defer func() { usedTokens = log.PromptLen() + log.Len() - initialLen }()
	if r.stream {
		return s.newStreamHandler(c, r, workspace, log).run(ctx, attachTo)
	}
	return s.serveBuffered(ctx, c, r, workspace, log)
}

// callerContext returns a context that is canceled with CallerGoneError when the caller disconnects. A connection that
// this instance closes while it stops has another cause, so that the stream stays on the engine and the caller can
// reconnect to it through another instance. The context also ends when the daemon ends, if mayEnd then returns true.
func (s *Server) callerContext(request context.Context, mayEnd func() bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(request))
	stop := context.AfterFunc(request, func() {
		if s.Closing != nil && s.Closing() {
			cancel(context.Canceled)
			return
		}
		cancel(generation.CallerGoneError{Cause: context.Cause(request)})
	})
	stopEnding := func() bool { return true }
	if s.Ending != nil {
		stopEnding = context.AfterFunc(s.Ending, func() {
			if mayEnd() {
				cancel(StoppedError{Result: failure.Unknown})
			}
		})
	}
	return ctx, func() {
		stop()
		stopEnding()
		cancel(context.Canceled)
	}
}

// ended reports whether the daemon ends; the context may be nil.
func ended(ending context.Context) bool { return ending != nil && ending.Err() != nil }

// tokenize asks an engine for the token ids of the request's text. The call is idempotent, so it may be repeated.
func (s *Server) tokenize(ctx context.Context, r *request, workspace config.Workspace) ([]uint32, error) {
	criteria := s.criteria(r, workspace)
	criteria.Exclude = map[string]bool{}
	var lastErr error
	for range maxTokenizeAttempts {
		choice, err := s.Pick(ctx, criteria)
		if err != nil {
			if lastErr == nil {
				return nil, err
			}
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, tokenizeTimeout)
		ids, err := s.Tokenize(callCtx, choice.Address(), r.text)
		cancel()
		choice.Release()
		if err == nil && len(ids) > 0 {
			return ids, nil
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		lastErr = err
		criteria.Exclude[choice.Address()] = true
	}
	return nil, TokenizeError{Cause: lastErr}
}

// criteria returns the criteria for picking the engine of a request.
func (s *Server) criteria(r *request, workspace config.Workspace) route.Criteria {
	return route.Criteria{
		Kind: route.KindModel, Name: r.model, Adapter: r.adapter, Workspace: workspace.Name,
		PreferredSpec: preferredSpec(s.Document(), r.model, r.adapter),
	}
}

// preferredSpec returns the configured spec of a model or adapter, or an empty string.
func preferredSpec(document config.Document, model, adapter string) string {
	m, ok := document.Model(model)
	if !ok {
		return ""
	}
	for _, a := range m.Adapters {
		if a.Name == adapter {
			return generation.NewSpec(m.Name, m.Version, a.Name, a.Version).String()
		}
	}
	return generation.NewSpec(m.Name, m.Version, "", "").String()
}

// newLog returns the log of a new or resumed generation and, for a cursor whose endpoint is still listed, the endpoint
// to attach to. Without that endpoint, the request must contain the delivered token ids, because the output is
// continued on another engine.
func (s *Server) newLog(r *request) (*generation.Log, route.Choice, error) {
	if r.encodedCursor == "" {
		return generation.NewLog(uuid.NewString(), r.prompt), route.Choice{}, nil
	}
	cursor := r.decodedCursor
	if err := cursor.CheckPrompt(generation.PromptDigest(r.prompt)); err != nil {
		return nil, route.Choice{}, err
	}
	log, err := generation.ResumeLog(cursor, r.prompt, r.deliveredIDs)
	if err != nil {
		return nil, route.Choice{}, err
	}
	if s.HasIncarnation(cursor.Address, cursor.Incarnation) {
		return log, route.NewChoice(cursor.Address, cursor.Incarnation, "", nil), nil
	}
	if !log.CanResumeElsewhere() {
		return nil, route.Choice{}, generation.CursorLostError{Endpoint: cursor.Address, Offset: cursor.Offset}
	}
	return log, route.Choice{}, nil
}

func (s *Server) newDriver(r *request, workspace config.Workspace, log *generation.Log) *generation.Driver {
	return &generation.Driver{
		Pick: s.Pick, Open: s.Open, Attach: s.Attach, Cancel: s.Cancel, Health: s.Health, Stalled: s.Stalled,
		TakeRetry:      func() bool { return s.TakeRetry == nil || s.TakeRetry(workspace.Name) },
		ReturnRetry:    func() { s.returnRetry(workspace.Name) },
		Log:            log,
		Model:          r.modelName(),
		Criteria:       s.criteria(r, workspace),
		Sampling:       r.sampling,
		Priority:       workspace.Priority,
		ResumePriority: workspace.Priority - resumePriorityBoost,
		ExemptResumes:  s.ExemptResumes,
		Queued:         s.Queued,
		QueueWaitBound: s.QueueWaitBound,
		Timeouts:       s.timeouts(),
		WaitBound:      time.Duration(s.Document().Settings().MaxWaitMS) * time.Millisecond,
		ReconnectGrace: s.ReconnectGrace,
	}
}

func (s *Server) returnRetry(workspace string) {
	if s.ReturnRetry != nil {
		s.ReturnRetry(workspace)
	}
}

// timeouts returns Server.Timeouts or, if it is zero, the timeouts for the current resume-preference of the sheet.
func (s *Server) timeouts() generation.Timeouts {
	if !s.Timeouts.IsZero() {
		return s.Timeouts
	}
	return generation.TimeoutsFor(s.Document().Settings().ResumePreference)
}

// recordEvent updates the metrics and reports the attempt's result for one event of a generation.
func (s *Server) recordEvent(r *request, workspace string, event generation.Event) {
	s.reportResult(event)
	m := s.Metrics
	switch event.Kind {
	case generation.EventAttempt:
		m.Count(telemetry.Attempts, event.Class)
		if event.Class != generation.ClassAttach {
			m.Add(telemetry.PrefillTokens, event.Class, event.Tokens)
		}
	case generation.EventFirst:
		if r.encodedCursor == "" {
			m.Observe(telemetry.TimeToFirstToken, workspace, time.Since(r.arrivedAt))
		}
	case generation.EventGap:
		m.Observe(telemetry.TokenGap, workspace, event.Wait)
	case generation.EventResumed:
		m.Observe(telemetry.ResumeLatency, workspace, event.Wait)
	case generation.EventLoss:
		m.Count(telemetry.EngineLosses, event.Class)
		if event.Class == generation.ClassSilence && s.ObserveSilence != nil {
			s.ObserveSilence(event.Address, event.Incarnation)
		}
	case generation.EventDropped:
		m.Add(telemetry.DroppedTokens, event.Class, event.Tokens)
	}
}

// reportResult passes the result of an attempt to ObserveAttempt.
func (s *Server) reportResult(event generation.Event) {
	if s.ObserveAttempt == nil {
		return
	}
	choice := route.NewChoice(event.Address, event.Incarnation, "", nil)
	switch event.Kind {
	case generation.EventFirst, generation.EventResumed:
		s.ObserveAttempt(choice, nil)
	case generation.EventLoss, generation.EventRefused:
		s.ObserveAttempt(choice, event.Cause)
	case generation.EventMoveFailed:
		if event.Class != generation.MoveUnneeded {
			s.ObserveAttempt(choice, event.Cause)
		}
	}
}

// serveBuffered sends the complete output in one response. If no endpoint has the weights of the buffered output any
// more, it starts a new generation once, which is safe because the caller has received nothing.
func (s *Server) serveBuffered(
	ctx context.Context, c *gin.Context, r *request, workspace config.Workspace, log *generation.Log,
) error {
	err := s.runBuffered(ctx, r, workspace, log)
	if _, lost := errors.AsType[generation.SpecLostError](err); lost {
		log = generation.NewLog(uuid.NewString(), r.prompt)
		err = s.runBuffered(ctx, r, workspace, log)
	}
	if err != nil {
		return err
	}
	c.Data(http.StatusOK, "application/json", completeBody(r, log))
	return nil
}

func (s *Server) runBuffered(ctx context.Context, r *request, workspace config.Workspace, log *generation.Log) error {
	d := s.newDriver(r, workspace, log)
	d.Deliver = func(generation.Chunk) error { return nil }
	d.Observe = func(event generation.Event) { s.recordEvent(r, workspace.Name, event) }
	// A buffered response has no cursor, so its caller cannot reconnect.
	d.ReconnectGrace = bufferedReconnectGrace
	return d.Run(ctx)
}
