// Command play runs one case of review/ against daemons that it starts as processes. Callers, endpoints and the store
// are stand-ins in this process. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
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

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a play.
const maxDuration = 110 * time.Second

// play is the state of one case.
type play struct {
	ctx     context.Context
	trouble bool
	record  *record
	dir     string // temporary folder
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(p *play) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	out, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer out.close()
	p := &play{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", record: out, dir: dir}
	out.add("case %s, trouble %t", os.Args[1], p.trouble)
	v, err := cases[os.Args[1]](p)
	return p.finish(v, err)
}

func (p *play) finish(v verdict, err error) int {
	if err == nil {
		err = p.ctx.Err()
	}
	if err != nil {
		p.record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	p.record.add("verdict: broken %t: %s", v.broken, v.text)
	fmt.Printf("broken %t: %s\n", v.broken, v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}

// sleep waits, or returns early at the end of the play.
func (p *play) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.ctx.Done():
	}
}
