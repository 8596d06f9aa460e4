package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the machines, as on the sheet of the site acec-tempisque.
const (
	contactTime = 3 * time.Second
	memoryMB    = 134
)

// daemonProcess is one daemon, which is started with the command and the settings template of the deploy file.
type daemonProcess struct {
	name      string
	front     string
	readiness string
	settings  string
	binary    string
	logPath   string

	mu        sync.Mutex
	command   *exec.Cmd
	startedAt time.Time
	killedAt  time.Time
}

// newDaemon writes the settings of a daemon on loopback.
func newDaemon(ctx context.Context, dir, name, place, platform string) (*daemonProcess, error) {
	template, err := os.ReadFile("deploy/entry.toml")
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ctx, 4)
	if err != nil {
		return nil, err
	}
	d := &daemonProcess{
		name: name, binary: "target/radishhollow", settings: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log"),
		front: "127.0.0.1:" + ports[0], readiness: "127.0.0.1:" + ports[1],
	}
	values := map[string]string{
		"zone": place, "listen.frontend": d.front, "listen.readiness": d.readiness, "ip": "127.0.0.1",
		"port_range.0": ports[2], "port_range.1": ports[3], "platform.address": platform, "bounds.grace_s": "8",
		"bounds.retry_budget_ratio": "0.8", "bounds.budget_slack": "150", "bounds.retry_window_s": "10", "bounds.drain_ms": "2000",
		"bounds.config_apply_ms": "2000", "limits.memory_mb": fmt.Sprint(memoryMB),
	}
	text := []byte(fillTemplate(string(template), values))
	return d, os.WriteFile(d.settings, text, 0o600) //nolint:gosec // The folder is a new one.
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// fillTemplate fills in the placeholders as the platform does. Sections are of values that this deployment does not have.
func fillTemplate(template string, values map[string]string) string {
	return placeholderPattern.ReplaceAllStringFunc(sectionPattern.ReplaceAllString(template, ""), func(match string) string {
		return values[strings.Trim(match, "{}")]
	})
}

// freePorts returns free ports below those that outgoing connections take.
func freePorts(ctx context.Context, count int) ([]string, error) {
	var ports []string
	for len(ports) < count {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort())
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			if ctx.Err() != nil {
				return nil, err
			}
			continue
		}
		_ = listener.Close()
		_, port, _ := net.SplitHostPort(address)
		ports = append(ports, port)
	}
	return ports, nil
}

var portCounter = struct {
	mu   sync.Mutex
	next int
}{next: 10_000 + os.Getpid()*101%18_000}

func nextPort() int {
	portCounter.mu.Lock()
	defer portCounter.mu.Unlock()
	portCounter.next++
	return portCounter.next
}

// Start starts the process.
func (d *daemonProcess) Start(ctx context.Context) error {
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(ctx, d.binary, "serve", "--settings", d.settings) //nolint:gosec // The path is a constant.
	command.Stdout, command.Stderr = log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GIN_MODE=release"}
	if err := command.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.command, d.startedAt = command, time.Now()
	return nil
}

// Kill ends the process with a signal and waits for its end.
func (d *daemonProcess) Kill(signal syscall.Signal) {
	d.mu.Lock()
	command := d.command
	d.command, d.killedAt = nil, time.Now()
	d.mu.Unlock()
	if command != nil {
		_ = command.Process.Signal(signal)
		_ = command.Wait()
	}
}

// InTouch reports whether the process has run for contactTime before a moment, as far as it was killed and started.
func (d *daemonProcess) InTouch(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.startedAt.IsZero() && at.Sub(d.startedAt) >= contactTime
}

// PID returns the process ID, or 0.
func (d *daemonProcess) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return 0
	}
	return d.command.Process.Pid
}

// Ready asks the daemon whether it is ready.
func (d *daemonProcess) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readiness+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready, up to notReadyTimeout.
func awaitReady(ctx context.Context, daemons []*daemonProcess) bool {
	for end := time.Now().Add(notReadyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range daemons {
			if d.Ready(ctx) {
				ready++
			}
		}
		if ready == len(daemons) {
			return true
		}
	}
	return false
}
