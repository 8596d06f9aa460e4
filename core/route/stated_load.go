package route

import (
	"math"
	"time"
)

// StatedLoad is the load that an endpoint states with four figures in the head of a response.
type StatedLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the factor by which work takes longer than usual at this moment.
	Slowdown float64
}

const (
	// statingPeriod is the time for which a service counts as stating its slowdown after four figures of one of its
	// endpoints.
	statingPeriod = 10 * time.Second
	// momentarySlowdownAge is the age up to which a stated slowdown counts as that of the moment. It changes many times a
	// second.
	momentarySlowdownAge = 200 * time.Millisecond
	// slowdownMeanPeriod is the period of the mean slowdown, and statedLoadMeanPeriod that of the mean load.
	slowdownMeanPeriod, statedLoadMeanPeriod = 3 * time.Second, 3 * time.Second
	// maxMeanQueue bounds the load that enters the mean, in sets of slots. A wrong figure would otherwise dominate the mean
	// for half a minute.
	maxMeanQueue = 10
	// slowdownDecay is the time constant with which the mean slowdown of an endpoint without reports returns to 1. Without
	// it, an endpoint that nobody chooses for its slowdown would never be seen to have recovered.
	slowdownDecay = 5 * time.Second
	// maxSlowdownFactor and minSlowdownFactor bound the slowdown that the choice uses, so that one wrong figure does not
	// exclude an endpoint or draw all requests to it.
	maxSlowdownFactor, minSlowdownFactor = 10, 0.25
)

// statedState is what an incarnation of an endpoint has stated, and what this daemon has sent and got back since.
type statedState struct {
	last StatedLoad
	at   time.Time // zero if the endpoint has stated nothing
	// statements is the number of statements.
	statements uint64
	// sentSince counts the reservations since the last statement that are not released, and returnedSince those that were
	// made before it and have been released since.
	sentSince, returnedSince int
	meanLoad, meanSlowdown   float64
}

// RecordStatedLoad records the four figures in the head of a response to a request of a choice. Figures of another
// start of the endpoint than the listed one are ignored.
func (t *Table) RecordStatedLoad(c Choice, load StatedLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[c.address]
	if e == nil || e.listing.Incarnation != c.incarnation || e.listing.StartedAtMS != c.startedAtMS {
		return
	}
	now := time.Now()
	e.stated.record(load, now)
	t.statedAt[groupKey{e.listing.Kind, e.listing.Name}] = now
}

// StatesSlowdown reports whether an endpoint of a service or model has stated four figures in the last 10 s.
func (t *Table) StatesSlowdown(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statesSlowdown(KindService, service) || t.statesSlowdown(KindModel, service)
}

// HighestSlowdown returns the highest slowdown that a listed endpoint has stated in the last 10 s, or 0 if none has.
func (t *Table) HighestSlowdown() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	highest, now := 0.0, time.Now()
	for _, e := range t.endpoints {
		if !e.stated.at.IsZero() && now.Sub(e.stated.at) < statingPeriod {
			highest = max(highest, e.stated.last.Slowdown)
		}
	}
	return highest
}

func (t *Table) statesSlowdown(kind Kind, name string) bool {
	at, stated := t.statedAt[groupKey{kind, name}]
	return stated && time.Since(at) < statingPeriod
}

// dropOldStatements forgets the services whose endpoints have stopped stating four figures.
func (t *Table) dropOldStatements() {
	now := time.Now()
	for key, at := range t.statedAt {
		if now.Sub(at) >= statingPeriod {
			delete(t.statedAt, key)
		}
	}
}

func (s *statedState) record(load StatedLoad, now time.Time) {
	requests := float64(min(load.Running+load.Waiting, maxMeanQueue*load.Slots))
	slowdown := boundedFactor(load.Slowdown)
	if s.at.IsZero() {
		s.meanLoad, s.meanSlowdown = requests, slowdown
	} else {
		age := now.Sub(s.at)
		s.meanLoad += (requests - s.meanLoad) * weightOf(age, statedLoadMeanPeriod)
		s.meanSlowdown += (slowdown - s.meanSlowdown) * weightOf(age, slowdownMeanPeriod)
	}
	s.last, s.at, s.sentSince, s.returnedSince = load, now, 0, 0
	s.statements++
}

// weightOf returns the weight of a new value in a mean over a period. It has a minimum, because some values follow each
// other at once.
func weightOf(age, period time.Duration) float64 {
	const minWeight = 0.02
	return max(1-math.Exp(-age.Seconds()/period.Seconds()), minWeight)
}

func boundedFactor(factor float64) float64 {
	return min(max(factor, minSlowdownFactor), maxSlowdownFactor)
}

// reserve counts a reservation and returns the number of statements before it.
func (s *statedState) reserve() (statements uint64) {
	s.sentSince++
	return s.statements
}

// release counts the release of a reservation that was made after a number of statements.
func (s *statedState) release(statements uint64) {
	if statements == s.statements {
		s.sentSince--
	} else {
		s.returnedSince++
	}
}

// load returns the estimated number of running and waiting requests. The last figures, corrected by what this daemon has
// sent and got back since, lose their weight to their mean as they age. The requests of this daemon are a lower bound.
func (s *statedState) load(inFlight int, now time.Time, policy UnevenPolicy) float64 {
	if s.at.IsZero() {
		return float64(inFlight)
	}
	weight := math.Exp(-now.Sub(s.at).Seconds() / policy.LoadAge.Seconds())
	current := float64(s.last.Running + s.last.Waiting + s.sentSince - s.returnedSince)
	return max(weight*current+(1-weight)*(s.meanLoad+float64(s.sentSince)), float64(inFlight))
}

// slowdown returns the slowdown of the moment, or the mean slowdown if the last figure is too old.
func (s *statedState) slowdown(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	age := now.Sub(s.at)
	if age <= momentarySlowdownAge {
		return boundedFactor(s.last.Slowdown)
	}
	return s.agedMeanSlowdown(age)
}

func (s *statedState) agedMeanSlowdown(age time.Duration) float64 {
	return 1 + (s.meanSlowdown-1)*math.Exp(-age.Seconds()/slowdownDecay.Seconds())
}
