package harness

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// state returns the one-letter state of the process from /proc, or an empty string if the process has exited.
func (p *Process) state() string {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.PID()), "stat"))
	if err != nil {
		return ""
	}
	// The state follows the command name, which is in parentheses and may contain spaces.
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}
