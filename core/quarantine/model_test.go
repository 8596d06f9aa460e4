package quarantine

import (
	"cmp"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	firstSeed  = flag.Uint64("quarantine.seed", 1, "first seed of the model")
	seedCount  = flag.Int("quarantine.seeds", 1, "number of seeds of the model")
	fullModel  = flag.Bool("quarantine.full", false, "play all cases with 30 and 118 daemons")
	logChanges = flag.Bool("quarantine.log", false, "log crashes, late requests and changes")
)

// maxSentLate is the number of requests with such a part that may reach engines later than contact after the fifth
// crash, by the operators' rule.
const maxSentLate = 3

// modelCase is a load of the model. Rates are requests a second and daemon; there are three routes.
type modelCase struct {
	name   string
	shares []float64
	faults string
	rate   float64
	length time.Duration
	// large cases are played with 30 and 118 daemons, too.
	large bool
}

var modelCases = []modelCase{
	{name: "rare part", shares: []float64{0.05}, rate: 6},
	{name: "frequent part", shares: []float64{0.5}, rate: 6},
	{name: "two rare parts", shares: []float64{0.05, 0.05}, rate: 6},
	{name: "two frequent parts", shares: []float64{0.25, 0.25}, rate: 6},
	{name: "frequent and rare part", shares: []float64{0.45, 0.05}, rate: 6},
	{name: "rare part in waves", shares: []float64{0.05}, faults: "waves flap", rate: 6},
	{name: "frequent part in waves", shares: []float64{0.5}, faults: "waves flap", rate: 6},
	{name: "two parts in waves", shares: []float64{0.3, 0.2}, faults: "waves flap", rate: 6},
	{name: "part beside resets, kills and cuts", shares: []float64{0.2}, faults: "resets kills cuts", rate: 6},
	{name: "two parts beside everything", shares: []float64{0.25, 0.1}, faults: everyFault, rate: 3, large: true},
	{name: "few requests", shares: []float64{0.3}, faults: "waves flap kills cuts", rate: 1},
	{name: "many requests", shares: []float64{0.5}, faults: "waves flap", rate: 15},
	{name: "many requests and two parts", shares: []float64{0.25, 0.25}, faults: "waves flap", rate: 15},
	{name: "long", shares: []float64{0.3}, faults: "waves flap", rate: 4, length: 5 * time.Minute},
}

const everyFault = "waves flap resets kills cuts"

// playModel runs a test of the model for each case, size and seed.
func playModel(t *testing.T, cases []modelCase, check func(t *testing.T, f *modelFleet)) {
	for _, daemons := range []int{5, 30, 118} {
		for _, c := range cases {
			if daemons > 5 && !c.large && !*fullModel {
				continue
			}
			if daemons > 100 && !*fullModel {
				c.rate, c.length = 1, 25*time.Second
			}
			for i := range *seedCount {
				seed := *firstSeed + uint64(i)
				t.Run(fmt.Sprintf("%d daemons/%s/seed %d", daemons, c.name, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newModelFleet(modelSettings{daemons: daemons, seed: seed, rate: c.rate, shares: c.shares})
						f.startFaults(c.faults)
						f.run(cmp.Or(c.length, 50*time.Second))
						check(t, f)
						if *logChanges || t.Failed() {
							f.logChanges(t)
						}
					})
				})
			}
		}
	}
}

func (f *modelFleet) startFaults(faults string) {
	for name := range strings.FieldsSeq(faults) {
		start := map[string]func(){
			"waves": f.waves, "resets": f.resets, "kills": f.kills, "cuts": f.cuts,
			"flap": func() { f.flap(f.engines[f.random.IntN(len(f.engines))]) },
		}[name]
		f.after(f.jitter(6*time.Second), start)
	}
}

// Guards against requests with a part that crashes engines that go on reaching engines, and against sound requests that
// are refused because they share other parts with them. Bounds are the operators' rules, and for sound requests, which
// must be admitted at least half as often, a stricter one.
func TestModelOfDeadlyParts(t *testing.T) {
	playModel(t, modelCases, func(t *testing.T, f *modelFleet) {
		late := 0
		for _, d := range f.deadly {
			refused, all := f.refusedLate(d)
			t.Logf("part %d: %d crashes, %d requests sent late, %d of %d sound requests refused late",
				d.part, len(d.crashes), len(d.sentLate()), refused, all)
			late += len(d.sentLate())
			if refused*50 > all {
				t.Errorf("LOST: %d of %d sound requests were refused", refused, all)
			}
		}
		if late > maxSentLate {
			t.Errorf("BUDGET: %d requests were sent late", late)
		}
	})
}

// Guards against sound requests that are refused because engines end for other reasons, and against parts that stay
// refused after that.
func TestModelOfOutages(t *testing.T) {
	cases := []modelCase{
		{name: "waves", faults: "waves flap", rate: 6},
		{name: "everything", faults: everyFault, rate: 3, large: true},
		{name: "few requests", faults: everyFault, rate: 0.3},
		{name: "many requests", faults: everyFault, rate: 15},
		{name: "long", faults: everyFault, rate: 3, length: 5 * time.Minute},
	}
	playModel(t, cases, func(t *testing.T, f *modelFleet) {
		refused := 0
		for _, s := range f.sound {
			if s.refused {
				refused++
			}
		}
		t.Logf("%d of %d requests refused", refused, len(f.sound))
		require.LessOrEqual(t, refused*500, len(f.sound), "at most one in 500 is refused")
		if len(f.daemons) < 10 || *fullModel {
			f.requireRelease(t)
		}
	})
}

// Guards against a part that stays refused although it no longer crashes engines.
func TestModelOfPartsThatNoLongerCrash(t *testing.T) {
	cases := []modelCase{{name: "two parts", shares: []float64{0.25, 0.1}, faults: everyFault, rate: 3}}
	playModel(t, cases, func(t *testing.T, f *modelFleet) {
		f.cured = true
		f.requireRelease(t)
	})
}

// requireRelease ends the faults and requires that nothing is quarantined once the evidence has expired.
func (f *modelFleet) requireRelease(t *testing.T) {
	f.stopped, f.rate = true, f.rate/10
	ended := time.Now()
	for time.Since(ended) < evidenceExpiry && f.quarantined() > 0 {
		f.run(time.Second)
	}
	t.Logf("released after %s", time.Since(ended))
	f.run(time.Until(ended.Add(evidenceExpiry + 10*time.Second)))
	require.Zero(t, f.quarantined())
}

func (f *modelFleet) quarantined() int {
	n := 0
	for _, d := range f.daemons {
		n += d.register.Quarantined()
	}
	return n
}

// sentLate returns the requests with a part that daemons in touch sent later than contact after its fifth crash.
func (d *deadlyPart) sentLate() []attemptSent {
	var list []attemptSent
	for _, sent := range d.sent {
		if sent.inTouch && len(d.crashes) >= 5 && sent.at.After(d.crashes[4].Add(contact)) {
			list = append(list, sent)
		}
	}
	return list
}

// refusedLate returns how many sound requests of the part's route were refused at the first attempt from 2 x contact after
// the fifth crash.
func (f *modelFleet) refusedLate(d *deadlyPart) (refused, all int) {
	for _, s := range f.sound {
		if s.route == d.route && len(d.crashes) >= 5 && s.at.After(d.crashes[4].Add(2*contact)) {
			all++
			if s.refused {
				refused++
			}
		}
	}
	return refused, all
}

func (f *modelFleet) logChanges(t *testing.T) {
	for _, d := range f.deadly {
		for i, at := range d.crashes {
			t.Logf("part %d crash %d at %s", d.part, i+1, at.Sub(f.start))
		}
		for _, sent := range d.sentLate() {
			t.Logf("part %d sent late at %s by %s", d.part, sent.at.Sub(f.start), sent.by)
		}
	}
	for _, change := range f.changes {
		t.Log(change)
	}
}
