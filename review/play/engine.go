package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// extraShare is the largest share of a runner's answers that a faulty runner writes once more, as in the site's
// disruption { kind = "garble", how = "extra late", share = 0.6, x = 0.03 }.
const extraShare = 0.03

// copied is the memory of a run, kept at another runner. Owner is the request whose memory it is.
type copied struct{ owner string }

// engines is a set of model runners that can keep copies of one another's memory.
type engines struct {
	play *play
	// pause is the time between two events.
	pause time.Duration

	mu        sync.Mutex
	byAddress map[string]*engine
	// crossed lists the requests that went on from the memory of another one.
	crossed []string
}

// engine is a model runner. Its fields are guarded by engines.mu.
type engine struct {
	*runner
	set *engines
	// running holds the owner of the memory with which a request runs, and backups the address of the runner that gets the
	// copy.
	running map[string]string
	backups map[string]string
	// copies are kept by the text with which a request may go on from them, in Kv-From.
	copies map[string]copied
	// faulty runners write some answers once more, as late as the next one is due.
	faulty          bool
	answers, extras int
}

func newEngines(p *play, pause time.Duration, places ...string) (*engines, []*runner) {
	set := &engines{play: p, pause: pause, byAddress: map[string]*engine{}}
	var runners []*runner
	for i, place := range places {
		e := &engine{
			set: set, running: map[string]string{}, backups: map[string]string{}, copies: map[string]copied{},
			runner: &runner{id: fmt.Sprintf("i-%d", i+1), service: "models", place: place, phase: "both", slots: 64, play: p},
		}
		e.serve = e.handle
		runners = append(runners, e.runner)
		set.byAddress[e.id] = e
	}
	return set, runners
}

// index makes the started runners known by their addresses.
func (s *engines) index() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.byAddress {
		if id == e.id {
			s.byAddress[e.address] = e
		}
	}
}

func (e *engine) handle(c *channel, request *http.Request, body []byte) bool {
	e.set.mu.Lock()
	e.answers++
	active := len(e.running)
	e.set.mu.Unlock()
	handle, drop := strings.CutPrefix(request.URL.Path, "/kv-handle/")
	switch {
	case request.URL.Path == "/report":
		return c.report(active)
	case request.URL.Path == "/kv-move":
		return e.move(c, body)
	case drop:
		e.set.drop(e.address + "/" + handle)
		return c.answer(http.StatusOK, "", "")
	case e.check(c, request):
		return true
	}
	return e.generate(c, request)
}

func (s *engines) drop(reference string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.byAddress {
		delete(e.copies, reference)
	}
}

// move copies the memory of a run to another runner. A faulty runner may write its last answer to such a call once more.
func (e *engine) move(c *channel, body []byte) bool {
	var call struct{ ID, Target string }
	if json.Unmarshal(body, &call) != nil {
		return c.answer(http.StatusBadRequest, "", "")
	}
	text, late := e.moved(c, call.ID, call.Target)
	if late {
		e.play.record.add("runner %s writes its answer about %s once more, where that about %s is due", e.id, c.lastRun, call.ID)
		text = c.last + text
	}
	c.last, c.lastRun = strings.TrimPrefix(text, c.last), call.ID
	_, err := c.Write([]byte(text))
	return err == nil
}

func (e *engine) moved(c *channel, id, target string) (text string, late bool) {
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	owner, runs := e.running[id]
	to := e.set.byAddress[target]
	if !runs || to == nil || to.socket == nil {
		return answerText(http.StatusNotFound, "", ""), false
	}
	handle := "h" + id
	to.copies[e.address+"/"+handle] = copied{owner: owner}
	e.play.record.add("runner %s copies the memory of %s to %s, handle %s", e.id, id, to.id, handle)
	late = e.faulty && c.last != "" && c.lastRun != id && float64(e.extras+1) <= extraShare*float64(e.answers)
	if late {
		e.extras++
	}
	return answerText(http.StatusOK, "", fmt.Sprintf(`{"handle":%q,"create_revision":1}`, handle), "Content-Type: application/json"), late
}

// begin starts a run and returns the owner of its memory, or false if it should go on from a copy that does not exist.
func (e *engine) begin(request *http.Request) (owner string, found bool) {
	id, from := request.Header.Get(idHeader), request.Header.Get("Kv-From")
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	owner = id
	if from != "" {
		kept, known := e.copies[from]
		if !known {
			return "", false
		}
		delete(e.copies, from)
		if owner = kept.owner; owner != id {
			e.set.crossed = append(e.set.crossed, id)
		}
	}
	e.running[id] = owner
	if to := e.set.byAddress[request.Header.Get("X-Radishhollow-Kv-Backup")]; to != nil {
		e.backups[id] = to.address
		to.copies[to.address+"/"+id] = copied{owner: owner}
	}
	return owner, true
}

func (e *engine) finish(id string, whole bool) {
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	if to := e.set.byAddress[e.backups[id]]; to != nil && whole {
		delete(to.copies, to.address+"/"+id)
	}
	delete(e.running, id)
	delete(e.backups, id)
}

// generate runs a request. Its number of events is the maximum that the consumer asked for.
func (e *engine) generate(c *channel, request *http.Request) bool {
	id, from := request.Header.Get(idHeader), request.Header.Get("Kv-From")
	owner, found := e.begin(request)
	if !found {
		e.play.record.add("runner %s has no copy %s for %s and does not run it", e.id, from, id)
		return c.answer(http.StatusServiceUnavailable, id, "", notRunHeader+": 1")
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if after > 0 {
		e.play.record.add("runner %s goes on with %s after event %d, from %q: the memory of %s", e.id, id, after, from, owner)
	}
	_, limit, _ := strings.Cut(request.Header.Get("X-Radishhollow-Token-Usage"), ",")
	count, _ := strconv.Atoi(limit)
	whole := c.streamHead(id) && e.write(c, owner, after, count)
	e.finish(id, whole)
	return whole && c.chunk("")
}

func (e *engine) write(c *channel, owner string, after, count int) bool {
	for number := after + 1; number <= count; number++ {
		if !c.chunk(fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, owner, number)) {
			return false
		}
		time.Sleep(e.set.pause)
	}
	return true
}

// pairs returns the number of runs by runner and by the runner that keeps their copies.
func (s *engines) pairs() map[[2]*engine]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := map[[2]*engine]int{}
	for key, e := range s.byAddress {
		if key != e.id {
			continue
		}
		for id := range e.running {
			if to := s.byAddress[e.backups[id]]; to != nil {
				list[[2]*engine{e, to}]++
			}
		}
	}
	return list
}
