package harness

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// readyTimeout bounds the wait for a readiness line on a busy machine.
	readyTimeout = 30 * time.Second
	// stopTimeout bounds the wait for an exit after SIGTERM at the end of a test.
	stopTimeout = 15 * time.Second
)

// Process is one child process. It is stopped and awaited at the end of the test that started it.
type Process struct {
	command *exec.Cmd
	output  *output
	address string
	// done is closed after the process was awaited.
	done chan struct{}
}

// Start starts a process and waits until it prints "listening IP:PORT".
func Start(t testing.TB, binary string, args ...string) *Process {
	t.Helper()
	// The context of the test would kill the child before the cleanup can stop it in order.
	command := exec.CommandContext(context.Background(), binary, args...)
	p := &Process{command: command, output: newOutput(), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	// A race build otherwise sleeps for one second at its exit. Options set outside come later and win.
	p.command.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0 "+os.Getenv("GORACE"))
	// The kernel kills the child when the test process dies, for example at a test timeout.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	go p.run(started)
	require.NoError(t, <-started)
	t.Cleanup(func() { p.cleanup(t) })
	select {
	case p.address = <-p.output.ready:
	case <-p.done:
		require.Failf(t, "process ended before it was ready", "%s: %s", p, p.output)
	case <-time.After(readyTimeout):
		require.Failf(t, "process is not ready", "%s: %s", p, p.output)
	}
	return p
}

// run starts and awaits the process. It keeps its thread, because the death signal follows the thread that started
// the child.
func (p *Process) run(started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	err := p.command.Start()
	started <- err
	if err == nil {
		_ = p.command.Wait()
		close(p.done)
	}
}

// cleanup terminates the process and fails the test where it has to be killed.
func (p *Process) cleanup(t testing.TB) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if !p.exited(stopTimeout) {
		p.signal(syscall.SIGKILL)
		t.Errorf("%s did not stop within %s after SIGTERM", p, stopTimeout)
		<-p.done
	}
	if t.Failed() {
		t.Logf("output of %s:\n%s", p, p.output)
	}
}

// String returns the command line.
func (p *Process) String() string { return strings.Join(p.command.Args, " ") }

// Address returns the address of the readiness line.
func (p *Process) Address() string { return p.address }

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Output returns what the process has printed.
func (p *Process) Output() string { return p.output.String() }

// Kill sends SIGKILL and waits for the end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause sends SIGSTOP and waits until the process is stopped.
func (p *Process) Pause(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	require.Eventually(t, func() bool { return p.state() == "T" }, stopTimeout, time.Millisecond)
}

// Continue sends SIGCONT.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Wait waits for the end and returns the exit code, which is -1 after a signal.
func (p *Process) Wait(t testing.TB, timeout time.Duration) int {
	t.Helper()
	require.Truef(t, p.exited(timeout), "%s still runs after %s", p, timeout)
	return p.command.ProcessState.ExitCode()
}

// signal has no effect after the process ended; os.Process then refuses it, so that a reused id is never hit.
func (p *Process) signal(s os.Signal) { _ = p.command.Process.Signal(s) }

func (p *Process) exited(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return false
	}
}
