package service

import (
	"net/http"
	"slices"
	"time"

	"radishhollow/standin"
)

// Kinds of faults.
const (
	RunThen503    = "run-then-503" // Responds with 503 after the run.
	RunThenCut    = "run-then-cut" // Closes the connection after the run.
	Refuse        = "refuse"       // Responds with 503 and Not-Run without a run.
	Delay         = "delay"        // Delays the run.
	DelayResponse = "delay-answer" // Delays the response after the run.
	Redirect      = "redirect"     // Redirects without a run.
	CutBefore     = "cut-before"   // Closes the connection without a run.
)

var faultKinds = []string{RunThen503, RunThenCut, Refuse, Delay, DelayResponse, Redirect, CutBefore}

// Fault is a fault that is injected into the next Count calls.
type Fault struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
	// DelayMS is the delay of the kinds delay (before the run) and delay-answer (after the run).
	DelayMS int `json:"delay-ms,omitempty"`
	// Status (307 or 308) and Location are those of the response of the kind redirect.
	Status   int    `json:"status,omitempty"`
	Location string `json:"location,omitempty"`
}

// handleFaults replaces all pending faults, and sets whether the runner is leaving if the body says so.
func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Faults  []Fault `json:"faults"`
		Leaving *bool   `json:"leaving"`
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	for _, f := range body.Faults {
		knownKind := slices.Contains(faultKinds, f.Kind)
		redirectStatus := f.Status == http.StatusTemporaryRedirect || f.Status == http.StatusPermanentRedirect
		if !knownKind || f.Count < 1 || (f.Kind == Redirect && !redirectStatus) {
			standin.WriteError(w, http.StatusBadRequest, "malformed-fault")
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = body.Faults
	if body.Leaving != nil {
		s.leaving = *body.Leaving
	}
	w.WriteHeader(http.StatusNoContent)
}

// nextFault consumes and returns the fault for the next call, or returns a Fault without a kind if none is pending.
func (s *Server) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return Fault{}
	}
	fault := s.faults[0]
	s.faults[0].Count--
	if s.faults[0].Count == 0 {
		s.faults = s.faults[1:]
	}
	return fault
}

// beforeRun applies the part of a fault that precedes the run. It returns true if the call ends without running.
func (f Fault) beforeRun(w http.ResponseWriter, r *http.Request, stop <-chan struct{}) bool {
	switch f.Kind {
	case Refuse:
		standin.Refuse(w, http.StatusServiceUnavailable, "refused")
		return true
	case CutBefore:
		standin.AbortConnection()
	case Redirect:
		http.Redirect(w, r, f.Location, f.Status)
		return true
	case Delay:
		if !standin.Sleep(stop, time.Duration(f.DelayMS)*time.Millisecond) {
			standin.AbortConnection()
		}
	}
	return false
}

// afterRun applies the part of a fault that follows the run. It returns true if it has written the response.
func (f Fault) afterRun(w http.ResponseWriter, stop <-chan struct{}) bool {
	switch f.Kind {
	case RunThen503:
		standin.WriteError(w, http.StatusServiceUnavailable, "failed-after-run")
		return true
	case RunThenCut:
		standin.AbortConnection()
	case DelayResponse:
		if !standin.Sleep(stop, time.Duration(f.DelayMS)*time.Millisecond) {
			standin.AbortConnection()
		}
	}
	return false
}
