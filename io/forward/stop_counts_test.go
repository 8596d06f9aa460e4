package forward

import (
	"bytes"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
	"radishhollow/io/telemetry"
)

// Guards against a log of a planned stop, of which a collector may keep only warnings, that does not tell a request that was
// complete for the daemon from one that it never finished: each request has its line, and the counts of the last line add up.
func TestPlannedStopAccountsForItsRequests(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetLevel(logrus.WarnLevel)
	limited := false
	s := &Server{Log: log, Metrics: telemetry.New(), TimeLeft: func() (time.Duration, bool) { return time.Second, limited }}
	end := func(id string, end observedEnd) {
		q := &request{id: id, arrivedAt: time.Now()}
		s.open.add(q)
		s.observeRequest(q, end)
		s.open.remove(q)
	}
	end("before", observedEnd{})
	early, panicked, unfinished := &request{id: "early"}, &request{id: "panicked"}, &request{id: "unfinished"}
	for _, q := range []*request{early, panicked, unfinished} {
		s.open.add(q)
	}
	s.LogInFlight()
	limited = true
	s.observeRequest(early, observedEnd{status: 200, bytes: 70})
	s.open.remove(panicked)
	end("cut", observedEnd{started: true, err: errors.Trace(StoppedError{Result: failure.Unknown})})
	end("refused", observedEnd{err: errors.Trace(DrainingError{})})
	end("failed", observedEnd{err: errors.Trace(TimeoutError{Result: failure.Unknown})})
	s.LogUnfinished()
	require.NotContains(t, out.String(), "request=before")
	require.Regexp(t, `msg="request ended" bytes=70 .*outcome=ok.*request=early`, out.String())
	require.Regexp(t, `msg="planned stop begins" in-flight=3`, out.String())
	require.Regexp(t, `msg="requests ended" cut=1 failed=2 in-flight=3 refused=1 taken=3 unfinished=1 whole=1`, out.String())
}
