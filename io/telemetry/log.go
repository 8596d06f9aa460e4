package telemetry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"radishhollow/core/ring"
)

const (
	// logLines bounds the lines that wait to be written: 4096 lines of some 300 bytes are about 1 MB.
	logLines = 4096
	// logBuffer is written at once.
	logBuffer = 32 << 10
)

// LogWriter writes log lines in the background and never blocks. Lines beyond its bound are dropped and counted; the
// next line that is written tells how many.
type LogWriter struct {
	lines   *ring.Queue[[]byte]
	out     *bufio.Writer
	dropped atomic.Uint64
	once    sync.Once
	done    chan struct{}
}

// NewLogWriter returns a LogWriter to out. Close it to write what is left.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: ring.New[[]byte](logLines), out: bufio.NewWriterSize(out, logBuffer), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It always succeeds.
func (w *LogWriter) Write(line []byte) (int, error) {
	if !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *LogWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes the lines that wait and ends the writer.
func (w *LogWriter) Close() error {
	w.once.Do(w.lines.Close)
	<-w.done
	return nil
}

func (w *LogWriter) run() {
	defer close(w.done)
	var told uint64
	for {
		line, err := w.lines.Pop(context.Background())
		if err != nil {
			break
		}
		if dropped := w.dropped.Load(); dropped > told {
			w.put(fmt.Appendf(nil, `{"level":"warning","msg":"log lines dropped","dropped":%d}`+"\n", dropped-told))
			told = dropped
		}
		w.put(line)
		if w.lines.Len() == 0 {
			w.flush()
		}
	}
	w.flush()
}

// put and flush ignore errors: there is no other place to report that the log can't be written.
func (w *LogWriter) put(line []byte) { _, _ = w.out.Write(line) }

func (w *LogWriter) flush() { _ = w.out.Flush() }
