package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["twice"] = playTwice }

const (
	twiceStreams = 24
	twiceEvents  = 120
	twiceSilence = time.Second
	// twicePause is the time between two silences, of which there are twiceSilences.
	twicePause    = 2 * time.Second
	twiceSilences = 3
	// twiceBound is the rule's.
	twiceBound = 400 * time.Millisecond
)

// twiceRuns notes when each request began at its latest runner, and which went on at the runner before for too long.
type twiceRuns struct {
	mu     sync.Mutex
	latest map[string]*runner
	began  map[string]time.Time
	both   map[string]bool
}

// playTwice lets one of three runners, which are sound, fall silent for a second, and again later. It is not among the most
// of them that drop a request when its channel closes.
func playTwice(p *play) (verdict, error) {
	d, err := newDeployment(p, configuration(
		[]map[string]any{streamRoute()}, []map[string]any{streamService()},
	))
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	runs := &twiceRuns{latest: map[string]*runner{}, began: map[string]time.Time{}, both: map[string]bool{}}
	runners := runs.runners(p)
	end, err := startRunners(d, runners...)
	defer end()
	if err != nil {
		return verdict{}, err
	}
	one, err := d.startDaemon()
	if err != nil {
		return verdict{}, err
	}
	p.sleep(time.Second)
	var group sync.WaitGroup
	for n := range twiceStreams {
		group.Go(func() {
			id := fmt.Sprintf("2e%06x", n)
			p.record.add("consumer's request %s: %s", id, p.ask(one.listen, generation(id, twiceEvents)))
		})
		p.sleep(150 * time.Millisecond)
	}
	for range twiceSilences {
		if p.trouble {
			runners[0].fallSilent(twiceSilence)
		}
		p.sleep(twiceSilence + twicePause)
	}
	group.Wait()
	runs.mu.Lock()
	defer runs.mu.Unlock()
	return verdict{broken: len(runs.both) > 0, text: fmt.Sprintf(
		"%d of %d requests were worked on at two runners, over 400 ms after they had gone on at the second one", len(runs.both), twiceStreams,
	)}, nil
}

func (t *twiceRuns) runners(p *play) []*runner {
	var list []*runner
	for i, place := range []string{"canas", "bagaces", "liberia"} {
		list = append(list, &runner{
			id: fmt.Sprintf("i-%d", i+1), service: "models", place: place, phase: "both", slots: 64, play: p,
			serve: func(c *channel, request *http.Request, _ []byte) bool { return t.serve(p, c, request) },
		})
	}
	return list
}

func (t *twiceRuns) serve(p *play, c *channel, request *http.Request) bool {
	c.runner.awake()
	if request.URL.Path == "/report" {
		return c.report(0)
	}
	if c.runner.check(c, request) {
		return true
	}
	if strings.HasPrefix(request.URL.Path, "/kv-") || request.Header.Get("Kv-From") != "" {
		return c.answer(http.StatusServiceUnavailable, request.Header.Get(idHeader), "", notRunHeader+": 1")
	}
	id := request.Header.Get(idHeader)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	p.record.add("runner %s runs %s after event %d", c.runner.id, id, after)
	t.mu.Lock()
	t.latest[id], t.began[id] = c.runner, time.Now()
	t.mu.Unlock()
	left := c.left()
	open := c.streamHead(id)
	for number := after + 1; number <= twiceEvents; number++ {
		c.runner.awake()
		if left.Load() && c.runner.id != "i-1" {
			p.record.add("runner %s drops %s, whose channel is closed", c.runner.id, id)
			return false
		}
		open = open && c.chunk(fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, id, number))
		t.made(p, c.runner, id, number)
		time.Sleep(50 * time.Millisecond)
	}
	_ = open && c.chunk("")
	// The channel has been read by left, so it is not kept.
	return false
}

// left watches the channel while a request runs, and is set once the other side has closed it.
func (c *channel) left() *atomic.Bool {
	var closed atomic.Bool
	go func() {
		_, _ = c.Read(make([]byte, 1))
		closed.Store(true)
	}()
	return &closed
}

// made notes that a runner has made an event.
func (t *twiceRuns) made(p *play, r *runner, id string, number int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := time.Since(t.began[id])
	if t.latest[id] == r || since <= twiceBound || t.both[id] {
		return
	}
	t.both[id] = true
	p.record.add("runner %s still works on %s at event %d, %d ms after it has gone on at runner %s", r.id, id, number, since.Milliseconds(), t.latest[id].id)
}

// fallSilent makes the runner do nothing for a time.
func (r *runner) fallSilent(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(length)
	r.play.record.add("runner %s falls silent for %s", r.id, length)
}

// awake waits while the runner is silent.
func (r *runner) awake() {
	r.mu.Lock()
	until := r.silentUntil
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}
