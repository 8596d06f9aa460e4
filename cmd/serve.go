package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/daemon"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

// RunServe runs one daemon until SIGTERM or SIGINT, and then drains it. On SIGHUP, it reads the settings again. Errors
// of the command line and the settings are written to stderr and give ExitUsage. A planned stop gives ExitOK, also if
// the drain timeout expires or it begins during the start. A failed start, a failed component and a failed stop hook give
// ExitFailed.
func RunServe(args []string, stdout, stderr io.Writer) int {
	var options struct {
		Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings of this daemon in TOML"`
	}
	if code, ok := parseOptions("serve", &options, args, stdout, stderr); !ok {
		return code
	}
	s, err := settings.Load(options.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	// Otherwise the runtime ends the process at the first line that is written after the reader of its output has gone.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if s.Interface == settings.InterfaceForward {
		// The operators' platform stores only the standard output of a process. The log and the final error line are
		// therefore written there.
		stderr = stdout
		copyCrashTrace(stdout)
	}
	out := telemetry.NewLogWriter(stderr)
	defer closeLog(out)
	log := newLog(s.LogLevel, out)
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	reloads := make(chan settings.Settings, 1)
	go (&settingsReloader{path: options.Settings, current: s, log: log, signals: sighup, reloads: reloads}).run(ctx)
	log.WithFields(logrus.Fields{"interface": s.Interface, "place": s.Place, "listen": s.Listen}).Info("daemon starts")
	// The line tells the process that started the daemon, such as test/harness, that all listeners serve.
	announce := stdout
	if s.Interface == settings.InterfaceForward {
		// A write to the standard output waits while nothing reads the log, and the daemon would not handle a signal to stop.
		announce = out
	}
	ready := func() { _, _ = fmt.Fprintf(announce, "listening %s\n", s.Listen) }
	err = daemon.Run(ctx, s, log, ready, fx.Supply(daemon.Reloads(reloads)))
	return reportEnd(err, log, out)
}

// logCloseTimeout limits the wait for an output that takes no more lines at the end of the daemon. It and the daemon's
// closeTimeout of 200 ms fit into the 300 ms that a planned stop leaves before the platform kills the process.
const logCloseTimeout = 75 * time.Millisecond

// closeLog writes the last lines. No signal may end the process meanwhile, or make a planned stop look like a failed one
// after that, so nothing reads them any more. signal.Ignore would leave a moment in which they have their default action.
func closeLog(out *telemetry.LogWriter) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	out.CloseWithin(logCloseTimeout)
}

// reportEnd logs the end of the daemon, whose error may be nil, and returns the exit code.
func reportEnd(err error, log *logrus.Logger, out *telemetry.LogWriter) int {
	if err != nil {
		// If a component failed, the daemon has logged the component's error under the same message before the drain.
		log.WithError(err).WithField("dropped-lines", out.Dropped()).Error("daemon ends")
		// A direct write would wait while nothing reads the log.
		_, _ = fmt.Fprintf(out, "radishhollow serve: %v\n", err)
		return ExitFailed
	}
	log.WithField("dropped-lines", out.Dropped()).Info("daemon ends")
	return ExitOK
}

// logTimeFormat is RFC 3339 with milliseconds, the unit of durations in log lines.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func newLog(level string, w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	// The level was validated with the settings.
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}
