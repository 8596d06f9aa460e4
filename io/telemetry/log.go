package telemetry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"radishhollow/core/ring"
)

const (
	// maxQueuedLines is the maximum number of lines in the queue. 4096 lines of about 300 bytes use about 1 MB.
	maxQueuedLines = 4096
	// logBufferBytes is the size of the output buffer.
	logBufferBytes = 32 << 10
)

// LogWriter writes log lines in a background goroutine, so that Write never blocks. If the queue is full, lines are
// dropped and counted, as are lines that out does not take, and a line with their number precedes the next written line.
// It is safe for concurrent use.
type LogWriter struct {
	queue     *ring.Queue[[]byte]
	dropped   atomic.Uint64
	closeOnce sync.Once
	done      chan struct{}

	// The background goroutine alone uses the fields below. buffer holds whole lines on their way to out.
	out    io.Writer
	buffer *bufio.Writer
	// buffered is the number of lines in buffer, without the lines that report dropped ones.
	buffered uint64
	// reported is the number of dropped lines that have been reported, and noted includes the reports in buffer.
	reported, noted uint64
	// torn is set while the output may end within a line.
	torn bool
}

// NewLogWriter returns a LogWriter that writes to out. Close must be called to write the remaining lines.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		queue: ring.New[[]byte](maxQueuedLines), done: make(chan struct{}),
		out: out, buffer: bufio.NewWriterSize(out, logBufferBytes),
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

// CloseWithin is a Close that waits no longer than limit. If out blocks for longer, the remaining lines are lost when the
// process ends, unless out takes them before.
func (w *LogWriter) CloseWithin(limit time.Duration) {
	w.closeOnce.Do(w.queue.Close)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *LogWriter) run() {
	defer close(w.done)
	for {
		line, err := w.queue.Pop(context.Background())
		if err != nil {
			break
		}
		if dropped := w.dropped.Load(); dropped > w.noted {
			w.writeLine(fmt.Appendf(nil, `{"level":"warning","msg":"log lines dropped","dropped":%d}`+"\n", dropped-w.noted), 0)
			w.noted = dropped
		}
		w.writeLine(line, 1)
		if w.queue.Len() == 0 {
			w.flush()
		}
	}
	w.flush()
}

// writeLine buffers a line, which counts as count lines if it is lost.
func (w *LogWriter) writeLine(line []byte, count uint64) {
	if len(line) > w.buffer.Available() {
		// Otherwise a part of the line would be written with the lines before it.
		w.flush()
	}
	w.buffered += count
	if n, err := w.buffer.Write(line); err != nil {
		w.drop(n > 0)
		return
	}
	if w.buffer.Buffered() == 0 {
		// A line that is longer than the buffer has been written directly.
		w.flush()
	}
}

func (w *LogWriter) flush() {
	length := w.buffer.Buffered()
	if err := w.buffer.Flush(); err != nil {
		w.drop(w.buffer.Buffered() < length)
		return
	}
	w.buffered, w.reported, w.torn = 0, w.noted, false
}

// drop drops the buffered lines after an error, which is not logged because there is no other output. Some of them may
// have been written. Without the reset, the buffer would return the same error for all later lines.
func (w *LogWriter) drop(partlyWritten bool) {
	w.dropped.Add(w.buffered)
	w.buffered, w.noted = 0, w.reported
	w.torn = w.torn || partlyWritten
	w.buffer.Reset(w.out)
	if w.torn {
		// Otherwise the next line would continue the torn one.
		_ = w.buffer.WriteByte('\n')
	}
}
