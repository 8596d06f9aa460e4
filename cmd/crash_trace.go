package cmd

import (
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"syscall"
)

// copyCrashTrace lets the runtime write the trace of a panic or a fatal error to a file, too, so that the log of a crashed
// daemon differs from that of a killed one. Without the copy, the trace is in the standard error only.
//
// The runtime must not wait for a reader while it writes, because the connections of a crashing process stay open. A pipe is
// therefore opened anew in non-blocking mode, and takes only the part of a trace that fits. There is no copy to a file that
// cannot be opened, such as a socket.
func copyCrashTrace(to io.Writer) {
	file, isFile := to.(*os.File)
	if !isFile {
		return
	}
	info, err := file.Stat()
	if err != nil {
		return
	}
	if info.Mode().IsRegular() {
		_ = debug.SetCrashOutput(file, debug.CrashOptions{})
		return
	}
	// A duplicate would share the mode with the log's descriptor, and perhaps with other processes.
	path := "/proc/self/fd/" + strconv.FormatUint(uint64(file.Fd()), 10)
	opened, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK|syscall.O_NOCTTY, 0) //nolint:gosec // The path names an open file.
	if err != nil {
		return
	}
	defer func() { _ = opened.Close() }()
	if err := debug.SetCrashOutput(opened, debug.CrashOptions{}); err != nil {
		return
	}
	// File.Fd, which SetCrashOutput calls, too, sets the blocking mode.
	if err := syscall.SetNonblock(int(opened.Fd()), true); err != nil {
		_ = debug.SetCrashOutput(nil, debug.CrashOptions{})
	}
}
