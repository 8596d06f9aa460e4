package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// contact is the lowest contact_ms of the operators' rules: the time for which a daemon must have been undisturbed to be
// in touch.
const contact = 3 * time.Second

// event is something that happens in the model at a time.
type event struct {
	at   time.Time
	turn int
	run  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].turn < q[j].turn
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// deadlyPart is a part that ends each engine that begins to write an answer on it.
type deadlyPart struct {
	part Part
	// share is the share of the requests of the part's route that contain it.
	share float64
	route int
	// isFirst is true if the part takes the place of the first part of the route.
	isFirst bool
	crashes []time.Time
	sent    []attemptSent
}

type attemptSent struct {
	at      time.Time
	by      string
	inTouch bool
}

// modelRequest is a request of a caller.
type modelRequest struct {
	number  int
	parts   []Part
	deadly  *deadlyPart
	route   int
	attempt int
	daemon  *modelDaemon
	life    int
	engine  *modelEngine
	// atRisk is true from the send until the run has lived some time.
	atRisk bool
	run    int
}

type modelEngine struct {
	place, number, incarnation int
	up                         bool
	running                    map[*modelRequest]bool
}

func (e *modelEngine) id() string { return fmt.Sprintf("10.1.0.%d:80/%d", e.number, e.incarnation) }

type modelDaemon struct {
	address  string
	register *Register
	life     int
	cut      bool
	// disturbed is the end of the daemon's last fault.
	disturbed time.Time
	pushing   bool
}

// modelFleet runs requests through daemons to engines that end, under the paused clock.
type modelFleet struct {
	random  *rand.Rand
	events  eventQueue
	turn    int
	start   time.Time
	daemons []*modelDaemon
	engines []*modelEngine
	deadly  []*deadlyPart
	rate    float64
	routes  [][]Part
	middles [][]Part
	// stopped ends the faults.
	stopped bool
	// appear is when the first requests with deadly parts come.
	appear time.Time
	// cured makes the deadly parts harmless.
	cured bool
	// sameID makes engines return under the same incarnation.
	sameID bool

	requests int
	changes  []string
	sound    []soundRequest
}

type soundRequest struct {
	at      time.Time
	route   int
	refused bool
}

type modelSettings struct {
	daemons int
	seed    uint64
	rate    float64 // requests a second and daemon
	shares  []float64
}

func newModelFleet(s modelSettings) *modelFleet {
	f := &modelFleet{
		random: rand.New(rand.NewPCG(s.seed, 1)), start: time.Now(), rate: s.rate * float64(s.daemons),
	}
	f.sameID = f.random.IntN(2) == 0
	for i := range s.daemons {
		d := &modelDaemon{address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		f.restart(d)
		f.after(f.jitter(500*time.Millisecond), func() { f.gossip(d) })
	}
	for i := range 10 + 5*s.daemons/2 {
		f.engines = append(f.engines, &modelEngine{place: i % 4, number: i, up: true, running: map[*modelRequest]bool{}})
	}
	for route := range 3 {
		f.routes = append(f.routes, []Part{Part(1000 + 10*route), Part(1001 + 10*route)}[:1+f.random.IntN(2)])
		var pool []Part
		for i := range 5 + f.random.IntN(60) {
			pool = append(pool, Part(10_000+1000*route+i))
		}
		f.middles = append(f.middles, pool)
	}
	for i, share := range s.shares {
		f.deadly = append(f.deadly, &deadlyPart{part: Part(666 + i), share: share, route: f.random.IntN(2), isFirst: f.random.IntN(3) == 0})
	}
	f.after(0, f.arrive)
	// The parts appear at once, or after engines have lived on the others.
	f.appear = time.Now().Add(time.Duration(f.random.IntN(3)) * 3 * time.Second)
	return f
}

func (f *modelFleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

func (f *modelFleet) after(d time.Duration, run func()) {
	f.turn++
	heap.Push(&f.events, event{at: time.Now().Add(d), turn: f.turn, run: run})
}

// run plays the model for a time.
func (f *modelFleet) run(d time.Duration) {
	end := time.Now().Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		next := heap.Pop(&f.events).(event)
		time.Sleep(time.Until(next.at))
		next.run()
	}
	time.Sleep(time.Until(end))
}

// restart gives a daemon an empty register.
func (f *modelFleet) restart(d *modelDaemon) {
	d.life++
	var peers []string
	for _, other := range f.daemons {
		if other != d {
			peers = append(peers, other.address)
		}
	}
	r := &Register{
		Self: d.address, Peers: func() []string { return peers },
		OnEvidence: func() { f.push(d) }, shuffle: f.random.Shuffle,
		OnChange: func(c Change) { f.changes = append(f.changes, fmt.Sprint(time.Since(f.start), d.address, c)) },
	}
	d.register = r
}

// push exchanges evidence soon, as a daemon does on new evidence.
func (f *modelFleet) push(d *modelDaemon) {
	if d.pushing {
		return
	}
	d.pushing = true
	f.after(5*time.Millisecond, func() {
		d.pushing = false
		f.exchangeWithTwo(d)
	})
}

func (f *modelFleet) gossip(d *modelDaemon) {
	f.exchangeWithTwo(d)
	f.after(500*time.Millisecond, func() { f.gossip(d) })
}

func (f *modelFleet) exchangeWithTwo(d *modelDaemon) {
	for range 2 {
		if peer := f.daemons[f.random.IntN(len(f.daemons))]; peer != d {
			f.exchange(d, peer)
		}
	}
}

// exchange is a call with evidence in the request and in the response.
func (f *modelFleet) exchange(caller, callee *modelDaemon) {
	if caller.cut || callee.cut {
		return
	}
	request := caller.register.Evidence(16, 32)
	f.after(time.Millisecond+f.jitter(4*time.Millisecond), func() {
		if caller.cut || callee.cut {
			return
		}
		callee.register.Merge(request)
		response := callee.register.Evidence(16, 32)
		f.after(time.Millisecond+f.jitter(4*time.Millisecond), func() { caller.register.Merge(response) })
	})
}

func (f *modelFleet) arrive() {
	f.after(time.Duration(f.random.ExpFloat64()/f.rate*float64(time.Second)), f.arrive)
	route := f.random.IntN(len(f.routes))
	first := f.routes[route][f.random.IntN(len(f.routes[route]))]
	// A few middle parts are in most requests, most are rare.
	pool := f.middles[route]
	middle := pool[int(float64(len(pool))*f.random.Float64()*f.random.Float64())]
	q := &modelRequest{route: route, daemon: f.daemons[f.random.IntN(len(f.daemons))], parts: []Part{first, middle}}
	q.life = q.daemon.life
	f.requests++
	q.number = f.requests
	choice := f.random.Float64()
	for _, d := range f.deadly {
		if d.route == route && choice < d.share && !time.Now().Before(f.appear) {
			q.deadly, q.parts = d, []Part{first, d.part, middle}
			if d.isFirst {
				q.parts = q.parts[1:]
			}
			break
		}
		if d.route == route {
			choice -= d.share
		}
	}
	f.attempt(q)
}

// attempt sends a request if its daemon admits it.
func (f *modelFleet) attempt(q *modelRequest) {
	q.attempt++
	if q.attempt > 5 || q.life != q.daemon.life {
		return
	}
	err := q.daemon.register.Admit(q.parts)
	if q.deadly == nil && q.attempt == 1 {
		f.sound = append(f.sound, soundRequest{at: time.Now(), route: q.route, refused: err != nil})
	}
	if err != nil {
		return
	}
	e := f.pick()
	if e == nil {
		f.after(200*time.Millisecond, func() { f.attempt(q) })
		return
	}
	if q.deadly != nil {
		q.deadly.sent = append(q.deadly.sent, attemptSent{at: time.Now(), by: q.daemon.address, inTouch: f.inTouch(q.daemon)})
	}
	q.engine, q.atRisk = e, true
	q.run++
	e.running[q] = true
	run, prefill := q.run, 400*time.Millisecond+f.jitter(1600*time.Millisecond)
	f.after(prefill, func() { f.begin(q, run) })
}

func (f *modelFleet) inTouch(d *modelDaemon) bool {
	return !d.cut && (d.disturbed.IsZero() || time.Since(d.disturbed) > contact)
}

func (f *modelFleet) pick() *modelEngine {
	for range 20 {
		if e := f.engines[f.random.IntN(len(f.engines))]; e.up {
			return e
		}
	}
	return nil
}

// begin is the first event of a run.
func (f *modelFleet) begin(q *modelRequest, run int) {
	if q.engine == nil || q.run != run {
		return
	}
	if q.deadly != nil && !f.cured {
		q.deadly.crashes = append(q.deadly.crashes, time.Now())
		f.crash(q.engine)
		return
	}
	f.after(250*time.Millisecond, func() {
		if q.engine == nil || q.run != run || q.life != q.daemon.life {
			return
		}
		q.atRisk = false
		q.daemon.register.RecordLived(q.parts)
		f.after(500*time.Millisecond+f.jitter(4*time.Second), func() {
			if q.engine != nil && q.run == run {
				delete(q.engine.running, q)
				q.engine = nil
			}
		})
	})
}
