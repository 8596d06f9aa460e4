package forward

import (
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
	"radishhollow/core/quarantine"
	"radishhollow/core/reach"
	"radishhollow/core/route"
	"radishhollow/io/memory"
)

// request is a caller's request together with its route, service and workspace from the configuration.
type request struct {
	id              string
	arrivedAt       time.Time
	document        config.Document
	route           config.Route
	service         config.Service
	workspace       config.Workspace
	header          http.Header // forwarded to the endpoint, with the headers that differ by attempt added
	deadline        time.Time
	endsWithDaemon  bool // the end of the daemon has brought the deadline forward
	body            []byte
	memory          memory.Share // of the body
	host            string
	method          string
	target          string // the request target as the caller sent it
	lastEventID     int
	resumed         string // id of the request that began the stream, or empty if the caller names none or several
	promptTokens    int
	maxOutputTokens int
	// parts are the parts of the prompt that other requests may share.
	parts []quarantine.Part
	// logFields are additional fields for the log entry of the request.
	logFields logrus.Fields
	// cutFields are added to the log entry of a response that was cut.
	cutFields logrus.Fields
	// delegation is set if a peer's caller has sent the request.
	delegation *reach.Delegation
	// counted is set if the request counts for this daemon's retry budget.
	counted bool
	// ended is set when its end has been counted. It is guarded by openRequests.mu.
	ended bool
}

// parse determines the route, the workspace and the service of a request and reads its body. With an error it returns
// the part of the request that is known, for the log and the metrics.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*request, error) {
	q := &request{
		id: r.Header.Get(s.Format.RequestID), arrivedAt: time.Now(), document: s.Document(), host: r.Host,
		method: r.Method, target: r.RequestURI, delegation: delegationOf(r.Context()),
	}
	if q.document.Revision() == 0 {
		return q, errors.Trace(NotReadyError{})
	}
	host, path := hostName(r.Host), r.URL.EscapedPath()
	var found bool
	if q.route, found = q.document.Route(host, path); !found {
		return q, s.refuseUnknown(q, NoRouteError{Host: host, Path: path})
	}
	q.workspace, found = q.document.WorkspaceByIndexedKey(s.Format.APIKey(r.Header))
	// A configuration without workspaces requires no API keys.
	if !found && !q.route.Public && len(q.document.Workspaces()) > 0 {
		return q, s.refuseUnknown(q, UnknownKeyError{})
	}
	name := q.route.Service(rand.Float64())
	if q.service, found = q.document.Service(name); !found {
		// A service that a route names but that is not listed has no connection limit and no KV cache copies.
		q.service = config.Service{Name: name}
	}
	q.deadline = s.requestDeadline(q, r.Header)
	q.header = s.endpointHeader(q, r.Header)
	q.lastEventID = max(headerNumber(r.Header.Get(s.Format.LastEventID)), 0)
	if ids := r.Header.Values(s.Format.ResumedRequest); len(ids) == 1 {
		q.resumed = strings.TrimSpace(ids[0])
	}
	q.promptTokens, q.maxOutputTokens = s.Format.TokenCounts(r.Header)
	q.parts = s.Format.Parts(r.Header)
	var err error
	q.body, err = s.readBodyUntilEnd(w, r, q)
	return q, err
}

// refuseUnknown returns the error for a request whose route or key is not in the configuration. The caller does not ask
// again after a refusal that names it missing, so none is given while a newer configuration may have it.
func (s *Server) refuseUnknown(q *request, unknown error) error {
	if s.IsBehind != nil && s.IsBehind() {
		return errors.Trace(BehindError{Revision: q.document.Revision()})
	}
	return errors.Trace(unknown)
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// headerNumber parses the decimal number in a header and returns 0 for anything else.
func headerNumber(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return n
}

// requestDeadline returns the earlier of the caller's and the route's deadline, or that of defaultTimeout if neither is
// set.
func (s *Server) requestDeadline(q *request, header http.Header) time.Time {
	timeout := q.route.Timeout()
	if callerTimeout := time.Duration(headerNumber(header.Get(s.Format.Deadline))) * time.Millisecond; callerTimeout > 0 {
		if timeout <= 0 || callerTimeout < timeout {
			timeout = callerTimeout
		}
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return q.arrivedAt.Add(timeout)
}

// endpointHeader returns the headers that are forwarded to the endpoint.
func (s *Server) endpointHeader(q *request, from http.Header) http.Header {
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
	// net/http handles these headers itself on each connection.
	header.Del("Expect")
	header.Del("Content-Length")
	if q.workspace.Name != "" {
		header.Set(s.Format.Workspace, q.workspace.Name)
	}
	return header
}

// endpointRequest returns the request as sent to endpoints, without the headers that differ by attempt.
func (q *request) endpointRequest() booking.Request {
	return booking.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: q.header, Body: q.body, ReuseConnection: true,
	}
}

// maxRuns returns the number of endpoints that may run a stream.
func (q *request) maxRuns() int {
	if !q.route.Resumable {
		return 1
	}
	return q.route.Attempts
}

// criteria returns the criteria by which an endpoint is picked for the request. For the attempts of a stream, the
// Driver replaces MaxTokens by 0, because its Sampling has no limit.
func (s *Server) criteria(q *request) route.Criteria {
	criteria := route.Criteria{
		Kind: route.KindService, Name: q.service.Name, Route: q.route.Name, Workspace: q.workspace.Name, LocalPlace: s.Place,
		PromptTokens: q.promptTokens, MaxTokens: q.maxOutputTokens,
	}
	if q.route.Kind == config.KindStream {
		criteria.Kind, criteria.AffinityKey = route.KindModel, s.Format.Affinity(q.header)
	}
	if q.service.MaxConnections > 0 {
		criteria.MaxInFlight = max(q.service.MaxConnections*connectionSharePercent/100/max(s.DaemonCount(), 1), 1)
	}
	return criteria
}

// setAttemptHeaders sets the headers that differ by attempt: the remaining time and the expected incarnation.
func (f Format) setAttemptHeaders(header http.Header, choice route.Choice, deadline time.Time) {
	header.Set(f.Deadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	header.Set(f.ExpectedIncarnation, choice.Incarnation())
}
