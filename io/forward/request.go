package forward

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/route"
)

// request is one caller's request with the route that it takes.
type request struct {
	id        string
	arrived   time.Time
	document  config.Document
	route     config.Route
	service   config.Service
	workspace config.Workspace
	header    http.Header
	deadline  time.Time
	body      []byte
	host      string
	method    string
	target    string
	lastEvent int
	prompt    int
	output    int
	// facts are further fields of the request's log line.
	facts logrus.Fields
}

// parse finds the route and the workspace and reads the body.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*request, error) {
	q := &request{
		id: r.Header.Get(s.Format.RequestID), arrived: time.Now(), document: s.Document(), host: r.Host,
		method: r.Method, target: r.RequestURI,
	}
	if q.document.Revision() == 0 {
		return q, errors.Trace(NotReadyError{})
	}
	host, path := hostName(r.Host), r.URL.EscapedPath()
	var found bool
	if q.route, found = q.document.Route(host, path); !found {
		return q, errors.Trace(NoRouteError{Host: host, Path: path})
	}
	q.workspace, found = q.document.KeyHolder(s.Format.APIKey(r.Header))
	if !found && !q.route.Public && len(q.document.Workspaces()) > 0 {
		return q, errors.Trace(UnknownKeyError{})
	}
	name := q.route.Service(rand.Float64())
	if q.service, found = q.document.Service(name); !found {
		q.service = config.Service{Name: name}
	}
	q.deadline = s.deadlineOf(q, r.Header)
	q.header = s.headerOf(q, r.Header)
	q.lastEvent = max(number(r.Header.Get(s.Format.LastEventID)), 0)
	q.prompt, q.output = s.Format.TokenCounts(r.Header)
	var err error
	q.body, err = readBody(w, r, int64(q.document.Limits().BodyBytes))
	return q, err
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// number reads a header of digits; anything else counts as 0.
func number(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return n
}

// deadlineOf returns the earlier of the caller's and the route's deadline.
func (s *Server) deadlineOf(q *request, header http.Header) time.Time {
	wait := q.route.Timeout()
	if caller := time.Duration(number(header.Get(s.Format.Deadline))) * time.Millisecond; caller > 0 {
		if wait <= 0 || caller < wait {
			wait = caller
		}
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	return q.arrived.Add(wait)
}

// headerOf returns the headers that go to the endpoint.
func (s *Server) headerOf(q *request, from http.Header) http.Header {
	header := from.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	for _, name := range s.Format.Internal {
		header.Del(name)
	}
	header.Del("Expect")
	header.Del("Content-Length")
	if q.workspace.Name != "" {
		header.Set(s.Format.Workspace, q.workspace.Name)
	}
	return header
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return nil, errors.Trace(BodyError{Limit: limit})
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if _, large := errors.AsType[*http.MaxBytesError](err); large {
		return nil, errors.Trace(BodyError{Limit: limit})
	}
	if err != nil {
		return nil, errors.Trace(BodyError{Limit: limit, Cause: err})
	}
	return body, nil
}

// outgoing returns the request as an endpoint gets it, but for the headers of one attempt.
func (q *request) outgoing() booking.Request {
	return booking.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: q.header, Body: q.body, ReuseConnection: true,
	}
}

// need describes the endpoint that the request looks for.
func (s *Server) need(q *request) route.Criteria {
	need := route.Criteria{
		Kind: route.KindService, Name: q.service.Name, Workspace: q.workspace.Name, LocalPlace: s.Place,
		PromptTokens: q.prompt, MaxTokens: q.output,
	}
	if q.route.Kind == config.KindStream {
		need.Kind, need.AffinityKey = route.KindModel, s.Format.Affinity(q.header)
	}
	if q.service.MaxChannels > 0 {
		need.MaxInFlight = max(q.service.MaxChannels*channelShare/100/max(s.DaemonCount(), 1), 1)
	}
	return need
}

// prepare sets the headers of one attempt: what is left of the time, and the endpoint that is meant.
func (f Format) prepare(header http.Header, choice route.Choice, deadline time.Time) {
	header.Set(f.Deadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	header.Set(f.ExpectedIncarnation, choice.Incarnation())
}
