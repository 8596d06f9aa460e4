package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"radishhollow/daemon"
	"radishhollow/io/settings"
)

// RunServe runs one daemon until SIGTERM or SIGINT, and then drains.
func RunServe(args []string, stdout, stderr io.Writer) int {
	var options struct {
		Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings of this daemon in TOML"`
	}
	if code, ok := parse("serve", &options, args, stdout, stderr); !ok {
		return code
	}
	s, err := settings.Load(options.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := newLog(s.LogLevel, stderr)
	if s.Interface == settings.InterfaceForward {
		log = newLog(s.LogLevel, stdout)
	}
	ready := func() { _, _ = fmt.Fprintf(stdout, "listening %s\n", s.Listen) }
	if err := daemon.Run(ctx, s, log, ready); err != nil {
		_, _ = fmt.Fprintf(stderr, "radishhollow serve: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

func newLog(level string, w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{})
	// The level was checked with the settings.
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}
