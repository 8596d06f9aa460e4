// Package crowd tests that callers which nobody controls take neither the memory nor the descriptors of a daemon.
package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/io/peer/rpc"
	"radishhollow/platform/platformtest"
	"radishhollow/test/harness"
)

const (
	// memoryMB is the memory of the smallest machine of the deployments in docs/design/hard-load.md.
	memoryMB = 88
	// descriptorsPerMB bounds the open descriptors of a process. With less than 64 KB of memory for each, a connection with a
	// head of the usual size would not fit.
	descriptorsPerMB = 16
	// answerTimeout is the time for one ordinary request. It is long, because the tests do not check speed.
	answerTimeout = 30 * time.Second
)

// target is one listener of a daemon process with an ordinary request to it.
type target struct {
	address string
	process *harness.Process
	// ordinary returns the request line, headers and body of an ordinary request that the listener answers with status 200.
	ordinary func(ctx context.Context) (*http.Request, error)
	// path, header and method make up the whole heads of a crowd that a handler serves.
	method, path, header string
}

// requireAnswer sends one ordinary request and requires status 200.
func (l target) requireAnswer(t *testing.T, when string) {
	t.Helper()
	r, err := l.ordinary(t.Context())
	require.NoError(t, err)
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	require.NoError(t, err, "an ordinary request to %s %s", l.path, when)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "an ordinary request to %s %s: %.300s", l.path, when, body)
}

// sendShape sends an ordinary request with further lines in its head and returns the status of its response.
func (l target) sendShape(t *testing.T, shape func(head string) string) int {
	t.Helper()
	r, err := l.ordinary(t.Context())
	require.NoError(t, err)
	r.Close = true
	var text strings.Builder
	require.NoError(t, r.Write(&text))
	head, body, _ := strings.Cut(text.String(), "\r\n\r\n")
	head += "\r\n"
	conn, err := net.DialTimeout("tcp", l.address, answerTimeout)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
	_, err = io.WriteString(conn, head+shape(head)+"\r\n"+body)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// startForward starts a daemon with interface "forward" and returns its listeners.
func startForward(t *testing.T) map[string]target { return startForwardWith(t, 0) }

// startForwardWith is startForward with a limit of the process's descriptors, unless that is zero.
func startForwardWith(t *testing.T, descriptors int) map[string]target {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	e := platformtest.NewEndpoint("i-1")
	t.Cleanup(e.Close)
	t.Cleanup(e.CloseClientConnections)
	store.Put("servers/i-1", e.Registration("plain", "a", "ready", ""))
	large := platformtest.NewEndpoint("i-2")
	t.Cleanup(large.Close)
	t.Cleanup(large.CloseClientConnections)
	large.Handler = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) }
	store.Put("servers/i-2", large.Registration("large", "a", "ready", ""))
	held := platformtest.NewEndpoint("i-3")
	ended := make(chan struct{})
	t.Cleanup(held.Close)
	t.Cleanup(held.CloseClientConnections)
	t.Cleanup(func() { close(ended) })
	held.Handler = func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	}
	store.Put("servers/i-3", held.Registration("held", "a", "ready", ""))
	store.Put("op/config", `{"version":1,"routes":[
 {"name":"once","host":"h","prefix":"/once/","type":"unsafe","timeout_ms":9000,"service":"plain","attempts":1},
 {"name":"large","host":"h","prefix":"/large/","type":"unsafe","timeout_ms":9000,"service":"large","attempts":1},
 {"name":"held","host":"h","prefix":"/held/","type":"unsafe","timeout_ms":60000,"service":"held","attempts":1}],
 "services":[{"name":"held","max_conns":9000},{"name":"plain","max_conns":9000},{"name":"large","max_conns":9000}],"tenants":[{"name":"t","api_keys":["k"]}]}`)
	callers, ready := harness.FreeAddress(t), harness.FreeAddress(t)
	peers, operators := harness.FreeAddress(t), harness.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "daemon.toml")
	text := fmt.Sprintf("interface = \"forward\"\nplace = \"a\"\nlisten = %q\nreadiness-listen = %q\npeer-listen = %q\n"+
		"operator-listen = %q\nplatform = %q\n[timeouts]\nwatch-wait = \"2s\"\ndrain-delay = \"100ms\"\ndrain = \"1s\"\n"+
		"[forward]\nmemory-mb = %d\n", callers, ready, peers, operators, store.Address(), memoryMB)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	command := []string{harness.Binary(t), "serve", "--settings", path}
	if descriptors > 0 {
		command = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, descriptors), "sh"}, command...)
	}
	process := harness.StartProcess(t, command[0], command[1:]...)
	targets := map[string]target{
		"callers": {
			address: callers, process: process, method: http.MethodPost, path: "/once/x", header: "Authorization: Token k\r\n",
			ordinary: func(ctx context.Context) (*http.Request, error) {
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/once/x", strings.NewReader("body"))
				if err != nil {
					return nil, err
				}
				r.Host = "h"
				r.Header.Set("Authorization", "Token k")
				r.Header.Set(platformtest.RequestIDHeader, "ordinary")
				return r, nil
			},
		},
		"peers":     {address: peers, process: process, method: http.MethodPost, path: "/twirp/x", ordinary: peerRequest(peers)},
		"operators": {address: operators, process: process, method: http.MethodGet, path: "/metrics", ordinary: get(operators, "/metrics", "")},
		"readiness": {address: ready, process: process, method: http.MethodGet, path: "/readyz", ordinary: get(ready, "/readyz", "")},
	}
	awaitOK(t, targets["readiness"])
	return targets
}

// startOwn starts a daemon with interface "own" and returns its listeners.
func startOwn(t *testing.T) map[string]target {
	d := harness.NewDeployment()
	d.Engines, d.Services, d.Daemons = 1, 1, 1
	d.AdjustSettings = func(_ int, s *harness.Settings) {
		s.Timeouts["instance-poll"] = "100ms"
		s.Forward = map[string]int{"memory-mb": memoryMB}
	}
	d.Start(t)
	d.ApplySheet(t, 0, d.Sheet(1))
	d.AwaitReady(t, 0)
	s, process := d.Settings(0), d.Daemon(0)
	return map[string]target{
		"callers": {
			address: s.Listen, process: process, method: http.MethodGet, path: "/v1/models",
			header:   "Authorization: Bearer " + harness.WorkspaceKey("large") + "\r\n",
			ordinary: get(s.Listen, "/services/"+d.Service+"/registry/x", harness.WorkspaceKey("large")),
		},
		"peers": {address: s.Peer, process: process, method: http.MethodPost, path: "/twirp/x", ordinary: peerRequest(s.Peer)},
		"operators": {
			address: s.Operator, process: process, method: http.MethodGet, path: "/metrics", ordinary: get(s.Operator, "/metrics", harness.OperatorKey),
		},
	}
}

func get(address, path, key string) func(ctx context.Context) (*http.Request, error) {
	return func(ctx context.Context) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
		if err == nil && key != "" {
			r.Header.Set("Authorization", "Bearer "+key)
		}
		return r, err
	}
}

// peerRequest returns an unsigned exchange, which a daemon answers whoever sends it.
func peerRequest(address string) func(ctx context.Context) (*http.Request, error) {
	return func(ctx context.Context) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+rpc.PeerPathPrefix+"Exchange", strings.NewReader(`{"address":"127.0.0.1:9"}`))
		if err == nil {
			r.Header.Set("Content-Type", "application/json")
		}
		return r, err
	}
}

func awaitOK(t *testing.T, l target) {
	t.Helper()
	require.Eventually(t, func() bool {
		r, err := l.ordinary(t.Context())
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}, answerTimeout, 20*time.Millisecond)
}

// peakMemoryKB returns the largest resident memory that the process has had.
func peakMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	return memoryKB(t, pid, "VmHWM:")
}

// memoryKB returns a field of the process's memory.
func memoryKB(t *testing.T, pid int, field string) int {
	t.Helper()
	kilobytes, running := memoryIfRunning(pid, field)
	require.True(t, running, "the process has ended")
	return kilobytes
}

// memoryIfRunning is memoryKB. It reports false if the process has ended.
func memoryIfRunning(pid int, field string) (kilobytes int, running bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, field); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes, err == nil
		}
	}
	return 0, false
}

// unreadKB returns what the kernel has received on connections of the targets' listeners and the process has not read. It takes
// memory of the machine.
func unreadKB(t *testing.T, targets []target) int {
	t.Helper()
	data, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	ports := map[string]bool{}
	for _, l := range targets {
		address, err := net.ResolveTCPAddr("tcp", l.address)
		require.NoError(t, err)
		ports[fmt.Sprintf("%04X", address.Port)] = true
	}
	const listening = "0A"
	unread := uint64(0)
	for line := range strings.Lines(string(data)) {
		// The fields are number, local address, remote address, state and "written:received".
		fields := strings.Fields(line)
		if _, port, found := strings.Cut(fields[1], ":"); !found || !ports[port] || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseUint(received, 16, 64)
		require.NoError(t, err)
		unread += n
	}
	return int(unread >> 10)
}

// openDescriptors returns the number of open descriptors of the process.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	require.NoError(t, err, "the process has ended")
	return len(entries)
}
