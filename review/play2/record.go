package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // The path is that of the case's folder.
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// log writes a line with the time since the start.
func (r *record) log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() { _ = r.file.Close() }
