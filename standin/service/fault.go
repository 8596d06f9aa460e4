package service

import (
	"net/http"
	"slices"
	"time"

	"radishhollow/standin"
)

// Kinds of faults.
const (
	RunThen503  = "run-then-503"
	RunThenCut  = "run-then-cut"
	Refuse      = "refuse"
	Delay       = "delay"
	DelayAnswer = "delay-answer"
	Redirect    = "redirect"
	CutBefore   = "cut-before"
)

var faultKinds = []string{RunThen503, RunThenCut, Refuse, Delay, DelayAnswer, Redirect, CutBefore}

// Fault disturbs the next Count calls.
type Fault struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
	// DelayMS applies to delay (before the run) and delay-answer (after the run).
	DelayMS int `json:"delay-ms,omitempty"`
	// Status and Location apply to redirect; Status is 307 or 308.
	Status   int    `json:"status,omitempty"`
	Location string `json:"location,omitempty"`
}

// handleFaults replaces the faults that have not taken effect yet, and sets whether the runner is leaving.
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

// nextFault returns the fault of the next call, or a Fault without a kind.
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

// beforeRun applies a fault ahead of the run and reports whether the call ends without running.
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

// afterRun applies a fault behind the run and reports whether the call is answered already.
func (f Fault) afterRun(w http.ResponseWriter, stop <-chan struct{}) bool {
	switch f.Kind {
	case RunThen503:
		standin.WriteError(w, http.StatusServiceUnavailable, "failed-after-run")
		return true
	case RunThenCut:
		standin.AbortConnection()
	case DelayAnswer:
		if !standin.Sleep(stop, time.Duration(f.DelayMS)*time.Millisecond) {
			standin.AbortConnection()
		}
	}
	return false
}
