package forward

import (
	"github.com/sirupsen/logrus"

	"radishhollow/core/failure"
)

// requestEnd is how a request has ended for the daemon.
type requestEnd string

// Ends of a request, as the log names them.
const (
	endWhole   requestEnd = "whole"   // the whole response of an endpoint
	endCut     requestEnd = "cut"     // a part of a response
	endRefused requestEnd = "refused" // an error response that promises that no endpoint has run the request
	endFailed  requestEnd = "failed"  // another error response
)

// endOf returns how a request has ended, with a response that has begun or not.
func endOf(err error, responseBegun bool) requestEnd {
	switch {
	case err == nil:
		return endWhole
	case responseBegun:
		return endCut
	case failure.Of(err).Outcome() == failure.NotRun:
		return endRefused
	}
	return endFailed
}

// stopCounts counts the requests of a planned stop.
type stopCounts struct {
	// inFlight is the number of requests that the stop found, and taken that of later ones.
	inFlight, taken int
	ends            map[requestEnd]int
}

// beginStop begins to count, and returns the requests that are in flight.
func (o *openRequests) beginStop() []*request {
	o.mu.Lock()
	defer o.mu.Unlock()
	open := o.unended()
	o.stop = &stopCounts{inFlight: len(open), ends: map[requestEnd]int{}}
	return open
}

// endStop returns the requests that have not ended, and the counts for the log.
func (o *openRequests) endStop() ([]*request, logrus.Fields) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fields := logrus.Fields{}
	if o.stop != nil {
		fields["in-flight"], fields["taken"] = o.stop.inFlight, o.stop.taken
		for _, end := range []requestEnd{endWhole, endCut, endRefused, endFailed} {
			fields[string(end)] = o.stop.ends[end]
		}
	}
	return o.unended(), fields
}

// unended returns the requests that have not ended. The caller must hold mu.
func (o *openRequests) unended() []*request {
	var open []*request
	for q := range o.requests {
		if !q.ended {
			open = append(open, q)
		}
	}
	return open
}
