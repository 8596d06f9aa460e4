package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["flood"] = playFlood }

// playFlood lets a runner send bytes that are no event, without end, in the middle of a stream.
func playFlood(p *play) (verdict, error) {
	d, err := newDeployment(p, configuration(
		[]map[string]any{streamRoute()}, []map[string]any{streamService()},
	))
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	serve := func(c *channel, request *http.Request, _ []byte) bool { return serveFlood(p, c, request) }
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
	a := p.ask(one.listen, generation("f1000001", 20))
	p.record.add("consumer's request: %s: ...%q", a, a.body[max(len(a.body)-100, 0):])
	return verdict{broken: a.took > 10*time.Second, text: a.String()}, nil
}

func serveFlood(p *play, c *channel, request *http.Request) bool {
	if request.URL.Path == "/report" {
		return c.report(0)
	}
	if c.runner.check(c, request) {
		return true
	}
	id := request.Header.Get(idHeader)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	p.record.add("runner %s runs %s after event %d", c.runner.id, id, after)
	if !c.streamHead(id) {
		return false
	}
	for number := after + 1; number <= 20; number++ {
		if number == 4 && after == 0 && p.trouble {
			for c.chunk(strings.Repeat("xxxxxxx\n\n", 1000)) {
			}
			p.record.add("runner %s: channel closed", c.runner.id)
			return false
		}
		if !c.chunk(fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, id, number)) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return c.chunk("")
}
