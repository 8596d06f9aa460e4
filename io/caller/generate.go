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
	tokenizeTries = 3
	// tokenizeTimeout leaves room for all tries within the caller's wait bound.
	tokenizeTimeout = 800 * time.Millisecond
)

func (s *Server) generate(c *gin.Context, chat bool) {
	err := s.tryGenerate(c, chat)
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
	// A stream that has started carries its error as an event, written by the session.
	WriteError(c, err)
}

func (s *Server) tryGenerate(c *gin.Context, chat bool) error {
	r, err := s.parse(c, chat)
	if err != nil {
		return err
	}
	workspace := WorkspaceOf(c)
	if r.cursor != "" {
		codec := generation.CursorCodec{Keys: s.CursorKeys}
		if r.position, err = codec.Open(r.cursor, workspace.Name, time.Now()); err != nil {
			return err
		}
	}
	ctx, stop := s.callerContext(c.Request.Context())
	defer stop()
	release, err := s.Admit(ctx, workspace, r.cost(), r.cursor != "")
	if err != nil {
		return err
	}
	used := 0
	if release != nil {
		defer func() { release(used) }()
	}
	s.Metrics.Observe(telemetry.QueueWait, workspace.Name, time.Since(r.arrived))
	if r.prompt == nil {
		if r.prompt, err = s.encode(ctx, r, workspace); err != nil {
			return err
		}
	}
	log, from, err := s.position(r)
	if err != nil {
		return err
	}
	start := log.Len()
	defer func() { used = log.PromptLen() + log.Len() - start }()
	if r.stream {
		return s.newStreamed(c, r, workspace, log).run(ctx, from)
	}
	return s.runWhole(ctx, c, r, workspace, log)
}

// callerContext returns a context that ends with CallerGoneError when the caller disconnects. A connection that this
// instance closes while it stops has another cause, so that the stream stays on the engine for the next entry.
func (s *Server) callerContext(request context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(request))
	stop := context.AfterFunc(request, func() {
		if s.Stopping != nil && s.Stopping() {
			cancel(context.Canceled)
			return
		}
		cancel(generation.CallerGoneError{Cause: context.Cause(request)})
	})
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// encode asks an engine for the token ids of the request's text. The call is idempotent.
func (s *Server) encode(ctx context.Context, r *request, workspace config.Workspace) ([]uint32, error) {
	need := s.need(r, workspace)
	need.Exclude = map[string]bool{}
	var last error
	for range tokenizeTries {
		choice, err := s.Pick(ctx, need)
		if err != nil {
			if last == nil {
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
		last = err
		need.Exclude[choice.Address()] = true
	}
	return nil, TokenizeError{Cause: last}
}

func (s *Server) need(r *request, workspace config.Workspace) route.Criteria {
	return route.Criteria{
		Kind: route.KindModel, Name: r.model, Adapter: r.adapter, Workspace: workspace.Name,
		PreferredSpec: wantedSpec(s.Document(), r.model, r.adapter),
	}
}

// wantedSpec returns the spec that the configuration gives a model, or an empty string.
func wantedSpec(document config.Document, model, adapter string) string {
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

// position returns the log to continue, and the endpoint to attach to if the request has a cursor.
func (s *Server) position(r *request) (*generation.Log, route.Choice, error) {
	if r.cursor == "" {
		return generation.NewLog(uuid.NewString(), r.prompt), route.Choice{}, nil
	}
	cursor := r.position
	if err := cursor.CheckPrompt(generation.PromptDigest(r.prompt)); err != nil {
		return nil, route.Choice{}, err
	}
	log, err := generation.ResumeLog(cursor, r.prompt, r.held)
	if err != nil {
		return nil, route.Choice{}, err
	}
	if s.HasIncarnation(cursor.Address, cursor.Incarnation) {
		return log, route.NewChoice(cursor.Address, cursor.Incarnation, "", nil), nil
	}
	if !log.Complete() {
		return nil, route.Choice{}, generation.CursorLostError{Endpoint: cursor.Address, Offset: cursor.Offset}
	}
	return log, route.Choice{}, nil
}

func (s *Server) driver(r *request, workspace config.Workspace, log *generation.Log) *generation.Driver {
	return &generation.Driver{
		Pick: s.Pick, Open: s.Open, Attach: s.Attach, Cancel: s.Cancel, Alive: s.Alive, Stalled: s.Stalled,
		MayRetry:       func() bool { return s.MayRetry == nil || s.MayRetry(workspace.Name) },
		Log:            log,
		Model:          r.name(),
		Need:           s.need(r, workspace),
		Sampling:       r.sampling,
		Priority:       workspace.Priority,
		ResumePriority: workspace.Priority - resumePriority,
		ExemptResumes:  s.ExemptResumes,
		Queued:         s.Queued,
		QueueWaitBound: s.QueueWaitBound,
		Timeouts:       s.pace(),
		WaitBound:      time.Duration(s.Document().Settings().MaxWaitMS) * time.Millisecond,
		ReconnectGrace: s.CallerReturn,
	}
}

// pace returns the deadlines of the sheet's resume-preference in force, unless the server has its own.
func (s *Server) pace() generation.Timeouts {
	if !s.Timeouts.IsZero() {
		return s.Timeouts
	}
	return generation.TimeoutsFor(s.Document().Settings().ResumePreference)
}

// measure feeds the metrics from the events of one generation.
func (s *Server) measure(r *request, workspace string, event generation.Event) {
	s.judge(event)
	m := s.Metrics
	switch event.Kind {
	case generation.EventAttempt:
		m.Count(telemetry.Attempts, event.Class)
		if event.Class != generation.ClassAttach {
			m.Add(telemetry.PrefillTokens, event.Class, event.Tokens)
		}
	case generation.EventFirst:
		if r.cursor == "" {
			m.Observe(telemetry.TimeToFirstToken, workspace, time.Since(r.arrived))
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

// judge tells the circuit breaker how an attempt went.
func (s *Server) judge(event generation.Event) {
	if s.ObserveAttempt == nil {
		return
	}
	choice := route.NewChoice(event.Address, event.Incarnation, "", nil)
	switch event.Kind {
	case generation.EventFirst, generation.EventResumed:
		s.ObserveAttempt(choice, nil)
	case generation.EventLoss, generation.EventRefused:
		s.ObserveAttempt(choice, event.Cause)
	}
}

// runWhole answers in one body. If the weights of the buffered part are lost it starts over once, which is safe as
// the caller has received nothing.
func (s *Server) runWhole(
	ctx context.Context, c *gin.Context, r *request, workspace config.Workspace, log *generation.Log,
) error {
	err := s.fill(ctx, r, workspace, log)
	if _, lost := errors.AsType[generation.SpecLostError](err); lost {
		log = generation.NewLog(uuid.NewString(), r.prompt)
		err = s.fill(ctx, r, workspace, log)
	}
	if err != nil {
		return err
	}
	c.Data(http.StatusOK, "application/json", wholeBody(r, log))
	return nil
}

func (s *Server) fill(ctx context.Context, r *request, workspace config.Workspace, log *generation.Log) error {
	d := s.driver(r, workspace, log)
	d.Deliver = func(generation.Chunk) error { return nil }
	d.Observe = func(event generation.Event) { s.measure(r, workspace.Name, event) }
	// A whole answer has no cursor, so its caller cannot come back.
	d.ReconnectGrace = wholeReturn
	return d.Run(ctx)
}
