package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["events"] = playEvents }

const (
	eventsStreams = 10
	eventsCount   = 20
	// eventsLong is the number of the event with a long line.
	eventsLong = 5
)

// eventText returns one event of the answer to a request. Each runner gives the same one, so that a stream may go on at
// another runner. With trouble, one line of one event, without its line end, has exactly 4,096 bytes; else it has one byte less.
func eventText(id string, number int, trouble bool) string {
	data := fmt.Sprintf("data: %s-%d", id, number)
	if number == eventsLong {
		length := 4095
		if trouble {
			length = 4096
		}
		data += strings.Repeat("x", length-len(data))
	}
	return fmt.Sprintf("id: %d\n%s\n\n", number, data)
}

func playEvents(p *play) (verdict, error) {
	d, err := newDeployment(p, configuration(
		[]map[string]any{streamRoute()}, []map[string]any{streamService()},
	))
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	serve := func(c *channel, request *http.Request, _ []byte) bool { return serveEvents(p, c, request) }
	var runners []*runner
	for i, place := range []string{"canas", "bagaces", "liberia"} {
		runners = append(runners, &runner{
			id: fmt.Sprintf("i-%d", i+1), service: "models", place: place, phase: "both", slots: 64, play: p, serve: serve,
		})
	}
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
	wrong := 0
	for n := range eventsStreams {
		if !askEvents(p, one, n) {
			wrong++
		}
	}
	return verdict{broken: wrong > 0, text: fmt.Sprintf("%d of %d streams differ from the runners' events", wrong, eventsStreams)}, nil
}

func serveEvents(p *play, c *channel, request *http.Request) bool {
	if request.URL.Path == "/report" {
		return c.report(0)
	}
	if c.runner.check(c, request) {
		return true
	}
	id := request.Header.Get(idHeader)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	p.record.add("runner %s runs %s after event %d", c.runner.id, id, after)
	c.runner.ran(id)
	if !c.streamHead(id) {
		return false
	}
	for number := after + 1; number <= eventsCount; number++ {
		if !c.chunk(eventText(id, number, p.trouble)) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return c.chunk("")
}

// askEvents reports whether a consumer got all events, each once and whole.
func askEvents(p *play, one *daemon, n int) bool {
	id := fmt.Sprintf("5e%06x", n)
	a := p.ask(one.listen, request{
		method: "POST", target: "/reports/1", id: id, timeLimit: 25 * time.Second, body: strings.Repeat("p", 8000),
		headers: []string{
			"X-Radishhollow-Model: m", "X-Radishhollow-Token-Usage: 2000,140", "X-Radishhollow-Prompt-Prefix: 5c1e07a2:200,a" + id + ":1800",
		},
	})
	want := ""
	for number := 1; number <= eventsCount; number++ {
		want += eventText(id, number, p.trouble)
	}
	p.record.add("consumer's request %s: %s", id, a)
	if a.body == want && a.whole {
		return true
	}
	at := 0
	for at < len(want) && at < len(a.body) && want[at] == a.body[at] {
		at++
	}
	p.record.add("request %s: the answer differs from byte %d: got %.60q, the runners wrote %.60q", id, at, a.body[max(at-20, 0):], want[max(at-20, 0):])
	return false
}
