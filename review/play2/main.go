// Command play2 plays the cases of the second review: it starts daemons as separate processes, and holds the stand-ins of
// the platform, the runners and the consumers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds the time of a case.
const caseTimeout = 115 * time.Second

// notReadyTimeout is the time in which the daemons must be ready.
const notReadyTimeout = 10 * time.Second

// notReadyError reports daemons that do not become ready.
type notReadyError struct{}

func (e notReadyError) Error() string { return "not all daemons are ready" }

// cases holds the cases by name.
var cases = map[string]func(ctx context.Context, dir string, rec *record, trouble bool) (broken bool, err error){
	"quarantine": runQuarantine, "first-events": runFirstEvents, "short-lines": runLines, "crowd": runCrowd,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays a case. The arguments are its name and its folder.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: play2 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "play2-")
	if err != nil {
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	// The end of the context ends the daemons, also after a signal.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption: %t, files in %s", args[0], trouble, dir)
	broken, err := cases[args[0]](ctx, dir, rec, trouble)
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.log("the rule was broken")
		return exitBroken
	}
	rec.log("the rule held")
	return exitHeld
}

// sleepUntil waits for a moment, or the end of the context.
func sleepUntil(ctx context.Context, at time.Time) { _ = sleep(ctx, time.Until(at)) }
