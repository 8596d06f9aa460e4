package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"radishhollow/examples"
)

// Sizes and timeouts of the demo. It ends well within 30 s.
const (
	demoStreams      = 24
	demoTokens       = 160
	demoPromptTokens = 256
	demoBookings     = 30
	demoKillAfter    = 1500 * time.Millisecond
	demoTimeout      = 25 * time.Second
	// demoRetryPause is roughly the time after which the workspace's limit admits another request.
	demoRetryPause = 200 * time.Millisecond
	demoWorkspace  = "asociación-norte"
)

// Demo loads a small deployment, kills an engine while it streams long outputs, and checks every generation and
// booking.
type Demo struct {
	// Progress is called with a line of text at each step; it may be nil.
	Progress func(line string)

	fleet   *Fleet
	caller  Caller
	report  DemoReport
	refused atomic.Int64
}

// DemoReport is the result of the demo.
type DemoReport struct {
	Streams  int `json:"streams"`
	Complete int `json:"whole"`
	Wrong    int `json:"wrong"`
	Failed   int `json:"failed"`
	Resumed  int `json:"resumed"`
	// MeanWait is the mean wait of a resumed stream for its next token.
	MeanWait time.Duration `json:"mean-wait-ns"`
	// FirstPrefill and ResumePrefill are the tokens prefilled by first attempts and by resumes.
	FirstPrefill  int `json:"prefill"`
	ResumePrefill int `json:"again"`
	Tokens        int `json:"tokens"`
	Bookings      int `json:"bookings"`
	// Refused counts the booking requests that were refused as not run and then retried.
	Refused  int `json:"refused"`
	Replays  int `json:"replays"`
	Ran      int `json:"ran"`
	RanTwice int `json:"doubled"`
	// Lost counts the bookings without a response, without outcome ran, or with two different responses.
	Lost int `json:"lost"`
}

// Passed reports whether every generation was complete and correct, and every booking was answered consistently and ran
// at most once.
func (r DemoReport) Passed() bool {
	return r.Wrong == 0 && r.Failed == 0 && r.RanTwice == 0 && r.Lost == 0 && r.Complete == r.Streams
}

// Run executes the demo.
func (d *Demo) Run(ctx context.Context) (DemoReport, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d.fleet = &Fleet{Sheet: examples.Association, Engines: 8, Services: 2, Daemons: 3}
	d.caller = Caller{Key: "example-key-" + demoWorkspace, HTTP: NewHTTPClient()}
	d.reportProgress("starting a platform, 8 engines, 2 service runners and 3 daemons on loopback")
	if err := d.fleet.Start(ctx); err != nil {
		return d.report, err
	}
	d.reportProgress("the sheet examples/association.csv is in force in all daemons")
	err := d.load(ctx)
	if err == nil {
		err = d.readCounters(ctx)
	}
	if closeErr := d.fleet.Close(); err == nil {
		err = closeErr
	}
	return d.report, err
}

func (d *Demo) reportProgress(line string) {
	if d.Progress != nil {
		d.Progress(line)
	}
}

// load runs streams and bookings concurrently and kills the busiest engine while they run.
func (d *Demo) load(ctx context.Context) error {
	d.reportProgress(fmt.Sprintf("running %d generations of %d tokens and %d bookings, each booking asked for twice",
		demoStreams, demoTokens, demoBookings))
	results := make([]Generation, demoStreams)
	errs := make([]error, demoStreams)
	var group sync.WaitGroup
	for i := range demoStreams {
		group.Go(func() { results[i], errs[i] = d.generate(ctx, i) })
	}
	bookingErrs := make([]error, demoBookings)
	for i := range demoBookings {
		group.Go(func() { bookingErrs[i] = d.book(ctx, i) })
	}
	killErr := make(chan error, 1)
	group.Go(func() { killErr <- d.killBusiestEngine(ctx) })
	group.Wait()
	if err := <-killErr; err != nil {
		return err
	}
	for i, g := range results {
		d.countGeneration(g, errs[i])
	}
	for _, err := range bookingErrs {
		if err != nil {
			d.report.Lost++
		}
	}
	return nil
}

func (d *Demo) generate(ctx context.Context, i int) (Generation, error) {
	random := rand.New(rand.NewPCG(uint64(i), 1))
	prompt := make([]uint32, demoPromptTokens)
	for n := range prompt {
		prompt[n] = random.Uint32N(1<<20) + 1
	}
	daemons := d.fleet.DaemonNodes()
	return d.caller.Generate(ctx, daemons[i%len(daemons)].Address(), d.fleet.Fields().Models[0].Name, prompt, demoTokens)
}

// book sends the same booking to two daemons and checks that the second response is the replay of the first.
func (d *Demo) book(ctx context.Context, i int) error {
	daemons, key := d.fleet.DaemonNodes(), fmt.Sprintf("delivery-%d", i)
	time.Sleep(time.Duration(i) * 50 * time.Millisecond)
	body := map[string]any{"drums": 2, "gate": i}
	first, err := d.bookOnce(ctx, daemons[i%3].Address(), key, body)
	if err != nil {
		return err
	}
	second, err := d.bookOnce(ctx, daemons[(i+1)%3].Address(), key, body)
	if err != nil {
		return err
	}
	if first.Outcome != "ran" || string(first.Body) != string(second.Body) {
		return ReplayError{Key: key}
	}
	return nil
}

// bookOnce sends a booking and, as a caller would, retries it while it is refused as not run, for example above the
// workspace's limit.
func (d *Demo) bookOnce(ctx context.Context, address, key string, body any) (ServiceResponse, error) {
	name := d.fleet.Fields().Services[0].Name
	for {
		booking, err := d.caller.CallService(ctx, address, name, http.MethodPost, "/deliveries", key, body)
		if err != nil || booking.Outcome != "not-run" {
			return booking, err
		}
		d.refused.Add(1)
		select {
		case <-time.After(demoRetryPause):
		case <-ctx.Done():
			return booking, ctx.Err()
		}
	}
}

// killBusiestEngine kills the engine that has started the most streams.
func (d *Demo) killBusiestEngine(ctx context.Context) error {
	time.Sleep(demoKillAfter)
	var busiest *Node
	most := -1
	for _, n := range d.fleet.EngineNodes() {
		stats, err := EngineStats(ctx, n.Address())
		if err != nil {
			return err
		}
		if stats.Started > most {
			busiest, most = n, stats.Started
		}
	}
	busiest.Kill()
	d.reportProgress(fmt.Sprintf("killed engine %s in %s with %d streams on it", busiest.Address(), busiest.Place(), most))
	return nil
}

func (d *Demo) countGeneration(g Generation, err error) {
	r := &d.report
	r.Streams++
	switch {
	case err != nil || g.Code != "" || !g.Done:
		r.Failed++
		return
	case g.Check(demoTokens) != nil:
		r.Wrong++
		return
	}
	r.Complete++
	r.Tokens += len(g.Tokens)
}

// readCounters adds the metrics of the daemons and the run counts of the service runners to the report.
func (d *Demo) readCounters(ctx context.Context) error {
	r := &d.report
	runs, err := d.fleet.Runs(ctx)
	if err != nil {
		return err
	}
	r.Bookings, r.Refused = demoBookings, int(d.refused.Load())
	for _, n := range runs {
		r.Ran += n
		if n > 1 {
			r.RanTwice++
		}
	}
	for prefix, target := range map[string]*int{
		`radishhollow_attempts_total{class="resume"}`:       &r.Resumed,
		`radishhollow_prefill_tokens_total{class="first"}`:  &r.FirstPrefill,
		`radishhollow_prefill_tokens_total{class="resume"}`: &r.ResumePrefill,
		`radishhollow_claims_total{class="replayed"}`:       &r.Replays,
	} {
		value, err := d.fleet.Metric(ctx, prefix)
		if err != nil {
			return err
		}
		*target = int(value)
	}
	sum, err := d.fleet.Metric(ctx, "radishhollow_resume_latency_seconds_sum")
	if err != nil {
		return err
	}
	if r.Resumed > 0 {
		r.MeanWait = time.Duration(sum / float64(r.Resumed) * float64(time.Second))
	}
	return nil
}
