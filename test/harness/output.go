package harness

import (
	"strings"
	"sync"
)

// maxOutput bounds the output kept of one process; the oldest part is dropped.
const maxOutput = 256 << 10

// readyPrefix starts the line that a process prints when it serves.
const readyPrefix = "listening "

// output collects what a process prints and finds its readiness line.
type output struct {
	mu    sync.Mutex
	text  string
	line  string
	ready chan string
	found bool
}

func newOutput() *output { return &output{ready: make(chan string, 1)} }

// Write implements io.Writer.
func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text += string(data)
	o.text = o.text[max(0, len(o.text)-maxOutput):]
	if o.found {
		return len(data), nil
	}
	o.line += string(data)
	for {
		line, rest, complete := strings.Cut(o.line, "\n")
		if !complete {
			return len(data), nil
		}
		o.line = rest
		if address, ok := strings.CutPrefix(line, readyPrefix); ok {
			o.found = true
			o.ready <- strings.TrimSpace(address)
			return len(data), nil
		}
	}
}

// String returns the collected output.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text
}
