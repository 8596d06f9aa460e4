package bench

import (
	"context"
	"net/http"
	"sort"
	"time"

	"radishhollow/core/config"
	"radishhollow/io/operator"
	"radishhollow/standin/platform"
)

// spreadBound ends a run whose revision does not reach every daemon.
const spreadBound = 30 * time.Second

// Propagation measures the time from the acceptance of a revision until it is in force in every daemon. Exported fields are
// set before Run.
type Propagation struct {
	Daemons    int    `json:"daemons"`
	Workspaces int    `json:"workspaces"`
	Seed       uint64 `json:"seed"`
	// PlatformDown withholds the watches' answers and cuts the platform straight after acceptance, so that only the
	// exchange carries the revision.
	PlatformDown bool `json:"platform-down"`
}

// SpreadResult is one run. Times are in seconds after acceptance.
type SpreadResult struct {
	Experiment string `json:"experiment"`
	Propagation
	// Complete tells that the revision reached every daemon within the bound of 30 s.
	Complete bool    `json:"complete"`
	Median   float64 `json:"median-s"`
	Last     float64 `json:"last-s"`
	// ByWatch and ByPeer are the numbers of daemons that had it from the platform or from a peer.
	ByWatch float64 `json:"by-watch"`
	ByPoll  float64 `json:"by-poll"`
	ByPeer  float64 `json:"by-peer"`
	// DocumentBytes is the size of the record in the key-value service.
	DocumentBytes int `json:"document-bytes"`
	// PeerBytes are the bytes that the daemons sent to each other from acceptance to the end, for each daemon.
	PeerBytes float64 `json:"peer-bytes-per-daemon"`
	// IdlePeerBytes are those of the same time without a change, for each daemon.
	IdlePeerBytes float64 `json:"idle-peer-bytes-per-daemon"`
	// Calls are the fleet's key-value calls from acceptance to the end.
	Calls float64 `json:"key-value-calls"`
}

// Run starts a fleet without endpoints, applies one change and watches every daemon.
func (s Propagation) Run(ctx context.Context) (SpreadResult, error) {
	r := SpreadResult{Experiment: "config", Propagation: s}
	f := &Fleet{Sheet: Sheet(1, 4, 1, s.Workspaces), Daemons: s.Daemons}
	if err := f.Start(ctx); err != nil {
		return r, err
	}
	defer func() { _ = f.Close() }()
	// The registrations and the first exchanges settle; the seed varies the moment within the intervals.
	pause(ctx, 2+float64(s.Seed%10)/10)
	before, err := f.counters(ctx)
	if err != nil {
		return r, err
	}
	if s.PlatformDown {
		// Without the freeze the watches would carry the revision before the platform is down.
		if err := Fault(ctx, f.platform, platform.Faults{FreezeState: true}); err != nil {
			return r, err
		}
	}
	applied, err := f.daemons[0].Operator().Apply(ctx, Sheet(2, 4, 1, s.Workspaces), nil)
	if err != nil {
		return r, err
	}
	accepted := time.Now()
	if s.PlatformDown {
		if err := Fault(ctx, f.platform, platform.Faults{Down: true, FreezeState: true}); err != nil {
			return r, err
		}
	}
	r.observe(f.await(ctx, applied, accepted))
	err = r.count(ctx, f, before, time.Since(accepted))
	return r, err
}

// await returns the time of each daemon that has the revision in force.
func (f *Fleet) await(ctx context.Context, applied operator.Applied, accepted time.Time) []time.Duration {
	ctx, cancel := context.WithTimeout(ctx, spreadBound)
	defer cancel()
	var times []time.Duration
	have := make([]bool, len(f.daemons))
	for len(times) < len(f.daemons) && ctx.Err() == nil {
		for i, d := range f.daemons {
			if have[i] {
				continue
			}
			status, err := d.Operator().Status(ctx)
			if err == nil && status.Revision >= applied.Revision {
				have[i] = true
				times = append(times, time.Since(accepted))
			}
		}
		time.Sleep(pollPause)
	}
	return times
}

func (r *SpreadResult) observe(times []time.Duration) {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	r.Complete = len(times) == r.Daemons
	if len(times) > 0 {
		r.Median, r.Last = times[len(times)/2].Seconds(), times[len(times)-1].Seconds()
	}
}

// spreadCounters are counters of the whole fleet.
type spreadCounters struct{ watch, poll, peer, bytes, calls float64 }

func (f *Fleet) counters(ctx context.Context) (spreadCounters, error) {
	var c spreadCounters
	for prefix, into := range map[string]*float64{
		`radishhollow_revisions_total{class="watch"}`:    &c.watch,
		`radishhollow_revisions_total{class="poll"}`:     &c.poll,
		`radishhollow_revisions_total{class="peer"}`:     &c.peer,
		`radishhollow_control_bytes_total{class="sent"}`: &c.bytes,
		`radishhollow_key_value_calls_total`:             &c.calls,
	} {
		value, err := f.Metric(ctx, prefix)
		if err != nil {
			return c, err
		}
		*into = value
	}
	return c, nil
}

// count takes the counters of the change, and the bytes of an equally long time after it.
func (r *SpreadResult) count(ctx context.Context, f *Fleet, before spreadCounters, took time.Duration) error {
	after, err := f.counters(ctx)
	if err != nil {
		return err
	}
	pause(ctx, max(took, 2*time.Second).Seconds())
	idle, err := f.counters(ctx)
	if err != nil {
		return err
	}
	n := float64(r.Daemons)
	r.ByWatch, r.ByPoll, r.ByPeer = after.watch-before.watch, after.poll-before.poll, after.peer-before.peer
	r.PeerBytes, r.Calls = (after.bytes-before.bytes)/n, after.calls-before.calls
	r.IdlePeerBytes = (idle.bytes - after.bytes) / n * took.Seconds() / max(took, 2*time.Second).Seconds()
	if r.PlatformDown {
		return nil
	}
	record, err := call(ctx, http.MethodGet, "http://"+f.platform+"/kv/"+config.Key, nil)
	r.DocumentBytes = len(record)
	return err
}
