package test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/platform/platformtest"
	"radishhollow/test/harness"
)

const (
	// endlessMemoryMB is the memory of the smallest machine.
	endlessMemoryMB = 134
	// endlessFor is the time for which callers wait for the answers of the faulty endpoints.
	endlessFor = 3 * time.Second
)

// writeRaw writes a head and then text without end to the connection, until the peer closes it.
func writeRaw(w http.ResponseWriter, head, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for _, err = io.WriteString(conn, head); err == nil; {
		_, err = io.WriteString(conn, text)
	}
}

// writeEvents writes large events with rising ids, until the peer closes the connection.
func writeEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	text := strings.Repeat("x", 120<<10)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; ; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, text); err != nil {
			return
		}
	}
}

// endlessCase is a kind of answer that never ends.
type endlessCase struct {
	path    string
	handler func(w http.ResponseWriter, r *http.Request)
	// slow lets callers stop to read the answer.
	slow bool
}

func endlessCases() map[string]endlessCase {
	text := strings.Repeat("x", 64<<10)
	signed := func(r *http.Request, rest string) string {
		return "HTTP/1.1 " + rest + "\r\n" + platformtest.SignatureHeader + ": s\r\n" + platformtest.RequestIDHeader + ": " +
			r.Header.Get(platformtest.RequestIDHeader) + "\r\n"
	}
	raw := func(rest, head, text string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) { writeRaw(w, signed(r, rest)+head, text) }
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	return map[string]endlessCase{
		"head":                {"/once/x", raw("200 OK", "", "A: "+text[:4000]+"\r\n"), false},
		"header line":         {"/once/x", raw("200 OK", "A: ", text), false},
		"interim responses":   {"/once/x", func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, "", "HTTP/1.1 103 Early Hints\r\n\r\n") }, false},
		"body without length": {"/once/x", raw("200 OK", "\r\n", text), false},
		"body with length":    {"/once/x", raw("200 OK", "Content-Length: 8000000\r\n\r\n", text), false},
		"chunks":              {"/once/x", raw("200 OK", "Transfer-Encoding: chunked\r\n\r\n", chunk), false},
		"chunk extension":     {"/once/x", raw("200 OK", "Transfer-Encoding: chunked\r\n\r\n1;a=", text), false},
		"trailer":             {"/once/x", raw("200 OK", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: "+text[:4000]+"\r\n"), false},
		"error body":          {"/stream/x", raw("500 Error", "\r\n", text), false},
		"refusal's body":      {"/stream/x", raw("503 Busy", platformtest.NotRunHeader+": 1\r\n\r\n", text), false},
		"large bodies, slow callers": {"/once/x", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(len(text)*60))
			for range 60 {
				_, _ = io.WriteString(w, text)
			}
		}, true},
		"event":                  {"/stream/x", raw("200 OK", "Content-Type: text/event-stream\r\n\r\ndata: ", text), false},
		"events":                 {"/stream/x", writeEvents, false},
		"events, slow callers":   {"/stream/x", writeEvents, true},
		"stream's head":          {"/stream/x", raw("200 OK", "", "A: "+text[:4000]+"\r\n"), false},
		"stream's body as error": {"/stream/x", raw("404 Gone", "Content-Length: 1000000\r\n\r\n", text[:1000]), false},
	}
}

// endlessDeployment is one daemon as a process before faulty endpoints of two services and a sound one of a third.
type endlessDeployment struct {
	address string
	daemon  *harness.Process
}

func newEndlessDeployment(t *testing.T, endpoints int, handler func(w http.ResponseWriter, r *http.Request)) *endlessDeployment {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	add := func(id, service, phase string, handler http.HandlerFunc) {
		e := platformtest.NewEndpoint(id)
		t.Cleanup(e.CloseClientConnections)
		t.Cleanup(e.Close)
		e.Handler = handler
		store.Put("servers/"+id, e.Registration(service, "a", "ready", phase))
	}
	for i := range endpoints {
		add(fmt.Sprintf("plain-%d", i), "plain", "", handler)
		add(fmt.Sprintf("model-%d", i), "model", "both", handler)
	}
	add("sound-0", "sound", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") })
	store.Put("op/config", `{"version":1,"routes":[
 {"name":"once","host":"h","prefix":"/once/","type":"unsafe","timeout_ms":9000,"service":"plain","attempts":1},
 {"name":"sound","host":"h","prefix":"/sound/","type":"unsafe","timeout_ms":9000,"service":"sound","attempts":1},
 {"name":"stream","host":"h","prefix":"/stream/","type":"streaming","timeout_ms":9000,"slo_ms":4500,"service":"model",
  "attempts":5,"resumable":true,"gap_aim_ms":700}],
 "services":[{"name":"plain","max_conns":90000},{"name":"sound","max_conns":900},{"name":"model","max_conns":90000,"engine":{"kv_capacity":9000,
  "handle_s":4}}],"tenants":[{"name":"t","api_keys":["k"]}]}`)
	d := &endlessDeployment{address: harness.FreeAddress(t)}
	ready, path := harness.FreeAddress(t), filepath.Join(t.TempDir(), "daemon.toml")
	text := fmt.Sprintf("interface = \"forward\"\nplace = \"a\"\nlisten = %q\nreadiness-listen = %q\npeer-listen = %q\n"+
		"operator-listen = %q\nplatform = %q\n[timeouts]\nwatch-wait = \"2s\"\ndrain-delay = \"100ms\"\ndrain = \"1s\"\n"+
		"[forward]\nretry-slack = 400\nretry-ratio = 10\nmemory-mb = %d\n", d.address, ready, harness.FreeAddress(t), harness.FreeAddress(t),
		store.Address(), endlessMemoryMB)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	d.daemon = harness.StartProcess(t, harness.Binary(t), "serve", "--settings", path)
	require.Eventually(t, func() bool { return isReady(t, ready) }, 20*time.Second, 10*time.Millisecond)
	return d
}

// send sends a request and reads the response, unless the caller is slow and stops after its head.
func (d *endlessDeployment) send(t *testing.T, client *http.Client, path, id string, slow bool) (status int, body string, err error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.address+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	r.Host = "h"
	r.Header.Set("Authorization", "Token k")
	r.Header.Set(platformtest.RequestIDHeader, id)
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	if slow {
		time.Sleep(endlessFor)
		return response.StatusCode, "", nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, string(data), err
}

// peakMemory returns the largest resident memory that the process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	require.Fail(t, "no VmHWM")
	return 0
}

// Guards against endpoints that send bytes without end, many at once, and make the process exceed its memory, with which the
// requests of other callers end.
func TestForwardEndlessAnswersKeepTheMemory(t *testing.T) {
	for _, endpoints := range []int{20, 200} {
		for name, tt := range endlessCases() {
			t.Run(fmt.Sprintf("%s of %d", name, endpoints), func(t *testing.T) {
				d := newEndlessDeployment(t, endpoints, tt.handler)
				client := &http.Client{Timeout: endlessFor, Transport: &http.Transport{DisableKeepAlives: true}}
				var group sync.WaitGroup
				for n := range 2 * endpoints {
					group.Go(func() { _, _, _ = d.send(t, client, tt.path, fmt.Sprintf("faulty-%d", n), tt.slow) })
				}
				time.Sleep(endlessFor / 3)
				status, body, err := d.send(t, &http.Client{Timeout: 20 * time.Second}, "/sound/x", "sound", false)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, "sound", body)
				group.Wait()
				peak := peakMemory(t, d.daemon.PID())
				t.Logf("peak memory %d MB", peak>>20)
				require.Less(t, peak, int64(endlessMemoryMB)<<20)
			})
		}
	}
}
