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
	// maxQueuedLines is the maximum number of lines in the queue. 4096 lines of about 300 bytes use about 1 MB.
	maxQueuedLines = 4096
	// logBufferBytes is the size of the output buffer.
	logBufferBytes = 32 << 10
)

// LogWriter writes log lines in a background goroutine, so that Write never blocks. If the queue is full, lines are
// dropped and counted, and a line with their number precedes the next written line. It is safe for concurrent use.
type LogWriter struct {
	queue     *ring.Queue[[]byte]
	out       *bufio.Writer
	dropped   atomic.Uint64
	closeOnce sync.Once
	done      chan struct{}
}

// NewLogWriter returns a LogWriter that writes to out. Close must be called to write the remaining lines.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		queue: ring.New[[]byte](maxQueuedLines), out: bufio.NewWriterSize(out, logBufferBytes), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write enqueues one line, or drops it if the queue is full. It never returns an error.
func (w *LogWriter) Write(line []byte) (int, error) {
	if !w.queue.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *LogWriter) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the queued lines are written and stops the background goroutine.
func (w *LogWriter) Close() error {
	w.closeOnce.Do(w.queue.Close)
	<-w.done
	return nil
}

func (w *LogWriter) run() {
	defer close(w.done)
	var reported uint64
	for {
		line, err := w.queue.Pop(context.Background())
		if err != nil {
			break
		}
		if dropped := w.dropped.Load(); dropped > reported {
			w.writeLine(fmt.Appendf(nil, `{"level":"warning","msg":"log lines dropped","dropped":%d}`+"\n", dropped-reported))
			reported = dropped
		}
		w.writeLine(line)
		if w.queue.Len() == 0 {
			w.flush()
		}
	}
	w.flush()
}

// writeLine and flush ignore errors, because there is no other output for reporting that the log cannot be written.
func (w *LogWriter) writeLine(line []byte) { _, _ = w.out.Write(line) }

func (w *LogWriter) flush() { _ = w.out.Flush() }
