package daemon

import (
	"log"
	"strings"

	"github.com/sirupsen/logrus"
)

// newServerLog returns the ErrorLog of an http.Server, whose default is the standard error, which the operators' platform
// does not keep.
func newServerLog(to *logrus.Logger) *log.Logger { return log.New(serverLogWriter{to: to}, "", 0) }

// serverLogWriter logs each error of an http.Server as a warning.
type serverLogWriter struct{ to *logrus.Logger }

// Write logs one error. It waits no longer than the log's output does.
func (w serverLogWriter) Write(text []byte) (int, error) {
	w.to.WithField("error", strings.TrimSpace(string(text))).Warn("error of an HTTP server")
	return len(text), nil
}
