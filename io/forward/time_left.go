package forward

import (
	"time"

	"github.com/juju/errors"

	"radishhollow/core/config"
)

// minTimeLeft is the time that a request whose response is not a stream needs before a daemon stops. Most take a
// fraction of it; one that takes longer ends at its deadline, which checkTimeLeft shortens.
const minTimeLeft = time.Second

// checkTimeLeft refuses a request that would be cut because the daemon stops before it is complete: another daemon can
// still serve it. The deadline of any other request is brought forward, so that endpoints do not work on it after the
// end of the daemon. deadlineMargin lets Ending be the first to end the request.
func (s *Server) checkTimeLeft(q *request) error {
	if s.TimeLeft == nil {
		return nil
	}
	left, limited := s.TimeLeft()
	if !limited {
		return nil
	}
	needed := minTimeLeft
	if q.route.Kind == config.KindStream {
		var known bool
		if needed, known = s.durations.longest(q.service.Name); !known {
			return errors.Trace(DrainingError{Left: left})
		}
	}
	if left < needed {
		return errors.Trace(DrainingError{Left: left})
	}
	if end := time.Now().Add(left + deadlineMargin); end.Before(q.deadline) {
		q.deadline = end
	}
	return nil
}

// deadlineMargin is above the lateness of a timer on a busy machine.
const deadlineMargin = 100 * time.Millisecond
