package forward

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Guards against a request that the end of the process ends and that no line of the log names, and against a log of many
// such requests that delays the end.
func TestLogUnfinished(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	s := &Server{Log: log}
	complete := &request{id: "complete", arrivedAt: time.Now()}
	s.open.add(complete)
	for n := range 60 {
		s.open.add(&request{id: fmt.Sprintf("open-%d", n), arrivedAt: time.Now()})
	}
	s.open.remove(complete)
	s.LogUnfinished()
	require.NotContains(t, out.String(), "complete")
	require.Equal(t, maxUnfinishedLines, strings.Count(out.String(), "request=open-"))
	require.Contains(t, out.String(), "unfinished=60")
}
