package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/booking"
	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/service"
	"radishhollow/io/sse"
	"radishhollow/io/telemetry"
)

const (
	// firstPart is the part of the objective, in percent, for which a stream may wait for an endpoint. Beyond it the
	// caller is better off at another daemon.
	firstPart = 25
	// copyDelay is the age of a run from which on its copy holds part of the prompt. Memory is sent several times a
	// second.
	copyDelay = 500 * time.Millisecond
	// peekTokens is the prompt from which on it pays to ask engines for their load: some 100 ms of reading.
	peekTokens = 1000
	// peekCount is the number of engines that are asked. Two are nearly as good as all.
	peekCount = 3
	// peekTimeout is well above a round trip within a region, and short against the reading of a prompt.
	peekTimeout = 60 * time.Millisecond
	// writeTimeout ends a stream whose caller has stopped reading.
	writeTimeout = 10 * time.Second
	// maxAnswer bounds the body of an endpoint's own failure.
	maxAnswer = 1 << 20
)

// pace gives up an engine that has stopped in time for a resume within the usual pause of 700 ms between events. Before
// the first event only a broken connection or a dead peer shows a loss, because the prompt may take seconds.
var pace = generation.Timeouts{Floor: 300 * time.Millisecond, Ceiling: 400 * time.Millisecond, First: 12 * time.Second}

// streamed answers one request with the events of one or more engines.
type streamed struct {
	server  *Server
	c       *gin.Context
	control *http.ResponseController
	request *request
	// ctx ends with the request.
	ctx context.Context
	// choice is the endpoint of the current attempt.
	choice route.Choice
	// keeper keeps the copy of the current run's memory, and copy is the last run's.
	keeper *keeper
	copy   copied
	lost   string
	// since is the time at which the last run was sent, and probe paces the probes of its engine while it waits.
	since time.Time
	probe probe
	// head is the header of the first engine's answer.
	head   http.Header
	sent   bool
	answer *booking.Response
	// first is the wait for the first event, and pause the longest wait for a later one.
	first, pause time.Duration
	runs         int
	// taken tells that the current attempt has drawn on the retry budget.
	taken bool
}

func (s *Server) stream(c *gin.Context, q *request) error {
	ctx, cancel := context.WithDeadlineCause(c.Request.Context(), q.deadline, TimeoutError{
		After: time.Until(q.deadline), Result: failure.Unknown,
	})
	defer cancel()
	t := &streamed{
		server: s, c: c, control: http.NewResponseController(c.Writer), request: q, ctx: ctx,
	}
	runs := 1
	if q.route.Resumable {
		runs = q.route.Attempts
	}
	d := &generation.Driver{
		Pick: t.pick, Open: t.open, Deliver: t.deliver, Observe: t.observe, Alive: t.alive, Stalled: t.stalled,
		MayRetry:   t.mayRetry,
		ExemptResumes: -1, MaxRuns: runs, FirstPickBound: q.route.Target() * firstPart / 100,
		Log: generation.NewEventLog(q.id, q.lastEvent), Need: s.need(q), Timeouts: pace,
		WaitBound: max(2*time.Second, 4*q.route.Target(), 8*q.route.Pause()),
	}
	err := d.Run(ctx)
	if t.keeper != nil {
		t.keeper.cancel()
	}
	q.facts = logrus.Fields{
		"first-ms": t.first.Milliseconds(), "pause-ms": t.pause.Milliseconds(), "runs": t.runs,
	}
	if err == nil {
		return t.begin()
	}
	if t.answer != nil && !t.sent {
		writeAnswer(c.Writer, t.answer.Status, t.answer.Header, t.answer.Body)
		return nil
	}
	return err
}

// pick prefers the engine that holds a copy of the run's memory, and keeps away from the place of the last loss, because
// engines of one place fail together.
func (t *streamed) pick(ctx context.Context, need route.Criteria) (route.Choice, error) {
	need.AvoidPlace, need.PreferredAddress = t.lost, t.copy.holder.Address()
	need.Spec, need.Prompt = "", nil
	need.Reconnected = t.lost == "" && t.request.lastEvent > 0
	if need.PreferredAddress == "" {
		need.CandidateAddresses = t.peek(ctx, need)
	}
	choice, err := t.server.Pick(ctx, need)
	if err == nil {
		t.choice = choice
	}
	return choice, err
}

// peek asks a few engines for their load, because daemons don't see one another's prompts.
func (t *streamed) peek(ctx context.Context, need route.Criteria) []string {
	if need.PromptTokens < peekTokens {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peekTimeout)
	defer cancel()
	addresses := t.server.Candidates(need, peekCount)
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { t.server.RefreshLoad(ctx, address) })
	}
	group.Wait()
	return addresses
}

func (t *streamed) open(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
	f := t.server.Format
	r := t.request.outgoing()
	r.Header = r.Header.Clone()
	f.prepare(r.Header, t.choice, t.request.deadline)
	if start.Offset > 0 {
		r.Header.Set(f.LastEventID, strconv.Itoa(start.Offset))
	}
	next := t.placeCopy(ctx, address, start.Offset, r.Header)
	t.since = time.Now()
	t.probe.start()
	response, cancel, err := t.server.Open(ctx, address, r)
	fields := t.server.chosen(t.choice)
	fields["attempt"], fields["offset"] = start.Attempt, start.Offset
	fields["from"], fields["backup"] = r.Header.Get(f.ResumeFrom), next.holder.Address()
	fields["wait-ms"] = time.Since(t.since).Milliseconds()
	t.log("stream sent", fields, err)
	if r.Header.Get(f.ResumeFrom) != "" {
		// A copy is used once.
		t.copy = copied{}
	}
	if err != nil {
		if failure.Of(err).Outcome() != failure.NotRun && time.Since(t.since) >= copyDelay {
			t.copy = next
		}
		return generation.Stream{}, err
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(f.Signature) == "" {
		defer cancel()
		return generation.Stream{}, t.refusal(ctx, address, response)
	}
	if t.head == nil {
		t.head = response.Header
	}
	t.keep(next)
	events := &events{
		reader: sse.NewEventReader(response.Body), generation: start.Generation, attempt: start.Attempt, count: start.Offset,
	}
	return sse.NewStream(t.ctx, response.Body, cancel, events.next), nil
}

// refusal reads the answer of an engine that does not stream.
func (t *streamed) refusal(ctx context.Context, address string, response *http.Response) error {
	f := t.server.Format
	defer context.AfterFunc(ctx, func() { _ = response.Body.Close() })()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	_ = response.Body.Close()
	if f.refused(response.StatusCode, response.Header) {
		return errors.Trace(RefusedError{Endpoint: address, Status: response.StatusCode})
	}
	if err == nil && response.Header.Get(f.Signature) != "" {
		t.answer = &booking.Response{Status: response.StatusCode, Header: response.Header, Body: body}
	}
	return errors.Trace(AnswerError{Endpoint: address, Status: response.StatusCode})
}

func (t *streamed) alive(address string) (alive bool, slow float64) {
	return t.server.Reachable(t.ctx, address), aliveFactor
}

// stalled tells that an engine does not answer any more. Before the first event nothing else shows it until the connection
// is given up, after some 2 s. An engine is probed when others of its place have fallen silent, and now and then.
func (t *streamed) stalled(address string) bool {
	if !t.probe.due(&t.server.silences, t.choice.Place()) {
		return false
	}
	for range probes {
		if !t.server.ConnectTimesOut(t.ctx, address) {
			return false
		}
	}
	return true
}

// probes must all fail. A single one fails often on a link that loses packets.
const probes = 2

// aliveFactor extends the silence that a reachable engine may keep.
const aliveFactor = 2

// begin sends the header of the first engine's answer once.
func (t *streamed) begin() error {
	if t.sent {
		return nil
	}
	t.sent = true
	copyHeader(t.c.Writer.Header(), t.head)
	t.c.Status(http.StatusOK)
	t.c.Writer.WriteHeaderNow()
	return nil
}

func (t *streamed) deliver(part generation.Chunk) error {
	if part.Event() == nil {
		return nil
	}
	if t.keeper != nil {
		t.keeper.check()
	}
	if err := t.begin(); err != nil {
		return err
	}
	// A writer without deadlines is one of a test.
	_ = t.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := t.c.Writer.Write(part.Event()); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(t.control.Flush())
}

// observe tells the table and the metrics how the attempts go.
func (t *streamed) observe(event generation.Event) {
	m, name := t.server.Metrics, t.request.workspace.Name
	switch event.Kind {
	case generation.EventAttempt:
		t.runs++
		m.Count(telemetry.Attempts, event.Class)
	case generation.EventFirst:
		t.first = event.Wait
		m.Observe(telemetry.TimeToFirstToken, name, event.Wait)
		t.choice.PrefillDone()
	case generation.EventGap:
		t.pause = max(t.pause, event.Wait)
		m.Observe(telemetry.TokenGap, name, event.Wait)
	case generation.EventResumed:
		if t.sent {
			t.pause = max(t.pause, event.Wait)
		}
		m.Observe(telemetry.ResumeLatency, name, event.Wait)
		t.log("stream resumed", logrus.Fields{
			"endpoint": t.choice.Incarnation(), "wait-ms": event.Wait.Milliseconds(),
		}, nil)
		t.choice.PrefillDone()
	case generation.EventRefused:
		t.refund(event.Cause)
		t.log("stream refused", logrus.Fields{"endpoint": t.choice.Incarnation()}, event.Cause)
	case generation.EventLoss:
		m.Count(telemetry.EngineLosses, event.Class)
		t.lost = t.choice.Place()
		if event.Class == generation.ClassSilence {
			t.server.silences.note(t.lost)
		}
		t.kept()
		t.log("stream lost", logrus.Fields{"endpoint": t.choice.Incarnation(), "class": event.Class}, event.Cause)
	}
	t.judge(event)
}

func (t *streamed) mayRetry() bool {
	t.taken = t.server.MayRetry(t.request.service.Name)
	return t.taken
}

// refund gives back what an attempt took from the retry budget, if nothing of it was written.
func (t *streamed) refund(err error) {
	sent, failed := errors.AsType[service.SendError](err)
	if t.taken && failed && !sent.Written {
		t.server.RefundRetry(t.request.service.Name)
	}
	t.taken = false
}

func (t *streamed) judge(event generation.Event) {
	if t.server.ObserveAttempt == nil {
		return
	}
	switch event.Kind {
	case generation.EventFirst, generation.EventResumed:
		t.server.ObserveAttempt(t.choice, nil)
	case generation.EventLoss, generation.EventRefused:
		t.server.ObserveAttempt(t.choice, event.Cause)
	}
}

func (t *streamed) log(message string, fields logrus.Fields, err error) {
	entry := t.server.Log.WithField("request", t.request.id).WithFields(fields)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info(message)
}
