package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of the pages.
const (
	idHeader        = "X-Radishhollow-Request-Id"
	signatureHeader = "X-Radishhollow-Upstream-Signature"
	notRunHeader    = "X-Radishhollow-Not-Processed"
	expectHeader    = "X-Radishhollow-Expect-Instance"
)

// runnerAddress is a loopback address from which no channel is opened, so that none takes the port of a runner.
const runnerAddress = "127.0.0.3:0"

// runner is a stand-in for a runner. It reads one request at a time on a channel.
type runner struct {
	id, service, place, phase string
	slots                     int
	play                      *play
	// serve answers one request and reports whether the channel is kept.
	serve func(c *channel, request *http.Request, body []byte) (keep bool)

	mu       sync.Mutex
	socket   net.Listener
	address  string
	channels map[*channel]bool
	born     int64
	sequence int
	runs     map[string]int // by request id
	// silentUntil is the time until which the runner does nothing.
	silentUntil time.Time
}

// channel is one channel to a runner.
type channel struct {
	net.Conn
	runner *runner
	// last holds the last answer to an order, for a runner that writes it once more.
	last, lastRun string
}

// start opens the runner's socket, at its earlier address after a restart.
func (r *runner) start() error {
	address := r.address
	if address == "" {
		address = runnerAddress
	}
	socket, err := listen(r.play.ctx, address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.socket, r.address, r.channels = socket, socket.Addr().String(), map[*channel]bool{}
	r.born, r.sequence = time.Now().UnixMilli(), 1
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	go r.accept(socket)
	return nil
}

func (r *runner) accept(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		c := &channel{Conn: conn, runner: r}
		r.mu.Lock()
		if r.socket != socket {
			r.mu.Unlock()
			_ = conn.Close()
			return
		}
		r.channels[c] = true
		r.mu.Unlock()
		go r.serveChannel(c)
	}
}

func (r *runner) serveChannel(c *channel) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.channels, c)
		r.mu.Unlock()
	}()
	input := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(input)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !r.serve(c, request, body) {
			return
		}
	}
}

// crash ends the runner with all of its channels, which are reset.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.socket == nil {
		return
	}
	_ = r.socket.Close()
	r.socket = nil
	for c := range r.channels {
		if conn, ok := c.Conn.(*net.TCPConn); ok {
			_ = conn.SetLinger(0)
		}
		_ = c.Close()
	}
	r.play.record.add("runner %s at %s ends", r.id, r.address)
}

// register writes the runner's entry into the store.
func (r *runner) register(d *deployment, state string) {
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.place, "version": "v1", "slots": r.slots, "state": state,
		"cold_left_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.phase != "" {
		entry["phase"] = r.phase
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	r.sequence++
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	d.store.Put("servers/"+r.id, string(value))
	r.play.record.add("store acknowledges runner %s at %s: %s", r.id, r.address, state)
}

// check answers a request that the runner does not run by the pages, and reports whether it did.
func (r *runner) check(c *channel, request *http.Request) (answered bool) {
	id := request.Header.Get(idHeader)
	switch {
	case request.Header.Get(expectHeader) != "" && request.Header.Get(expectHeader) != r.id:
		c.answer(http.StatusMisdirectedRequest, id, "", notRunHeader+": 1", "X-Radishhollow-Upstream-Instance: "+r.id)
	case id == "":
		c.answer(http.StatusBadRequest, id, "", notRunHeader+": 1")
	default:
		return false
	}
	return true
}

// ran notes that the runner has begun to work on a request.
func (r *runner) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// answer writes a complete answer.
func (c *channel) answer(status int, id, body string, headers ...string) bool {
	_, err := io.WriteString(c, answerText(status, id, body, headers...))
	return err == nil
}

func answerText(status int, id, body string, headers ...string) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		_, _ = fmt.Fprintf(&text, "%s: %s\r\n", idHeader, id)
	}
	for _, header := range headers {
		text.WriteString(header + "\r\n")
	}
	_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return text.String()
}

func (r *runner) signature() string { return signatureHeader + ": signed-by-" + r.id }

// streamHead begins an answer that is a series of events, in chunks.
func (c *channel) streamHead(id string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\n"+c.runner.signature()+
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	return err == nil
}

// chunk writes a part of a body in chunks; an empty part ends the body.
func (c *channel) chunk(part string) bool {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
	return err == nil
}

// report answers GET /report of a model runner.
func (c *channel) report(active int) bool {
	body := fmt.Sprintf(`{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"queued":0,`+
		`"active":%d,"kv_used":0,"kv_total":88000,"handles":0,"state":"ready","runs":[],"born":%d}`, active, c.runner.born)
	return c.answer(http.StatusOK, "", body, "Content-Type: application/json")
}

// startRunners starts runners and registers them as ready. The returned function ends them.
func startRunners(d *deployment, list ...*runner) (end func(), err error) {
	end = func() {
		for _, r := range list {
			r.crash()
		}
	}
	for _, r := range list {
		if err := r.start(); err != nil {
			return end, err
		}
		r.register(d, "ready")
	}
	return end, nil
}
