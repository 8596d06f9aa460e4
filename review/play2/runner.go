package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the runners. A prompt of 8,000 tokens takes a second.
const (
	heartbeatTime  = 1200 * time.Millisecond
	prefillPerMS   = 8
	runnerDowntime = 3 * time.Second
)

// answerSize is the size of the answers: the number of the events, the gap between them and the bytes that each has more.
type answerSize struct {
	events int
	gap    time.Duration
	bytes  int
}

// shortAnswer is an answer of 40 short events.
var shortAnswer = answerSize{events: 40, gap: 30 * time.Millisecond}

// arrival is a request that a runner has received.
type arrival struct {
	at      time.Time
	id      string
	runner  string
	parts   string
	crashed bool
}

// runner is a stand-in of a model runner. It ends, with all its connections, when it begins to write an answer on a prompt
// with the part crashPart, and is back after runnerDowntime with another id.
type runner struct {
	store     *store
	record    *record
	service   string
	place     string
	crashPart string
	// crashEvents is the number of events that the runner writes before it ends because of crashPart.
	crashEvents int
	answer      answerSize
	onArrival   func(a arrival)
	onCrash     func()
	address     string

	mu       sync.Mutex
	id       string
	starts   int
	born     time.Time
	sequence int
	listener net.Listener
	conns    map[net.Conn]struct{}
	running  int
	down     bool
}

// registration is a runner's entry in the store.
type registration struct {
	Service  string           `json:"service"`
	Address  string           `json:"address"`
	Place    string           `json:"zone"`
	Version  string           `json:"version"`
	Slots    int              `json:"slots"`
	State    string           `json:"state"`
	ColdLeft int              `json:"cold_left_ms"`
	Sequence int              `json:"sequence"`
	Phase    string           `json:"phase"`
	Models   []map[string]any `json:"models"`
	Born     int64            `json:"born"`
}

// start opens the runner's socket and registers it.
func (r *runner) start(ctx context.Context) error {
	address := r.address
	if address == "" {
		address = "127.0.0.2:0"
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.starts++
	r.address, r.listener, r.conns = listener.Addr().String(), listener, map[net.Conn]struct{}{}
	r.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(strings.ReplaceAll(r.address, ".", ""), ":", "-"), r.starts)
	r.born, r.sequence, r.down, r.running = time.Now(), 0, false, 0
	id := r.id
	r.mu.Unlock()
	server := &http.Server{
		Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 10 * time.Second, ConnState: r.track,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return context.WithValue(ctx, startKey{}, id) },
	}
	go r.run(server, listener)
	go r.loop(ctx, id)
	return nil
}

// startKey is the key of the id of the start that accepted a connection.
type startKey struct{}

func (r *runner) run(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

// loop sends the heartbeats of one start. Its entry is removed after three intervals of silence.
func (r *runner) loop(ctx context.Context, id string) {
	for ctx.Err() == nil && r.isUp(id) {
		r.store.Put("servers/"+id, r.entry())
		_ = sleep(ctx, heartbeatTime)
	}
	_ = sleep(ctx, 3*heartbeatTime)
	r.store.Remove("servers/" + id)
}

func (r *runner) isUp(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id == id && !r.down
}

func (r *runner) entry() registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return registration{
		Service: r.service, Address: r.address, Place: r.place, Version: "v1", Slots: 64, State: "ready", Sequence: r.sequence,
		Phase: "both", Models: []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, Born: r.born.UnixMilli(),
	}
}

func (r *runner) track(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateNew {
		r.conns[conn] = struct{}{}
	}
	if state == http.StateClosed {
		delete(r.conns, conn)
	}
}

// crash ends the runner like a process that ends: its socket and all its connections are closed.
func (r *runner) crash(ctx context.Context) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.record.log("runner %s crashes", r.id)
	r.onCrash()
	go r.restart(ctx)
}

func (r *runner) restart(ctx context.Context) {
	_ = sleep(ctx, runnerDowntime)
	for ctx.Err() == nil && r.start(ctx) != nil {
		_ = sleep(ctx, 50*time.Millisecond)
	}
	r.record.log("runner %s is back", r.id)
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/healthz":
		w.Header().Set("X-Radishhollow-Upstream-Instance", r.id)
		return
	case "/report":
		r.report(w)
		return
	}
	id := q.Header.Get("X-Radishhollow-Request-Id")
	w.Header().Set("X-Radishhollow-Request-Id", id)
	if started, _ := q.Context().Value(startKey{}).(string); id == "" || q.Header.Get("X-Radishhollow-Expect-Instance") != started {
		w.Header().Set("X-Radishhollow-Not-Processed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.stream(w, q)
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":%d,"queued":0,`+
		`"active":%d,"kv_used":1000,"kv_total":88000,"handles":0,"pinned":0,"held":0,"state":"ready","next":0,"runs":[],"born":%d}`,
		r.sequence, r.running, r.born.UnixMilli())
}

// stream prefills the prompt and sends the events, unless the prompt crashes the runner.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	a := arrival{at: time.Now(), id: q.Header.Get("X-Radishhollow-Request-Id"), runner: r.id, parts: q.Header.Get("X-Radishhollow-Prompt-Prefix")}
	a.crashed = r.crashPart != "" && strings.Contains(a.parts, r.crashPart)
	r.onArrival(a)
	r.addRunning(1)
	defer r.addRunning(-1)
	if sleep(q.Context(), prefillTime(a.parts)) != nil {
		return
	}
	if a.crashed && r.crashEvents == 0 {
		r.crash(context.WithoutCancel(q.Context()))
		return
	}
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Radishhollow-Upstream-Signature", "signed-by-"+r.id)
	w.Header().Set("X-Radishhollow-Weight-Versions", "1")
	more := strings.Repeat("x", r.answer.bytes)
	for id := first + 1; id <= r.answer.events; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s %s\n\n", id, id, a.id, more)
		_ = http.NewResponseController(w).Flush()
		if sleep(q.Context(), r.answer.gap) != nil {
			return
		}
		if a.crashed && id-first == r.crashEvents {
			r.crash(context.WithoutCancel(q.Context()))
			return
		}
	}
}

func (r *runner) addRunning(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += n
}

// prefillTime is the time that the parts of a prompt take.
func prefillTime(parts string) time.Duration {
	tokens := 0
	for part := range strings.SplitSeq(parts, ",") {
		_, count, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(count)
		tokens += n
	}
	return time.Duration(tokens/prefillPerMS) * time.Millisecond
}

// sleep waits for a time, or returns the error of the context.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
