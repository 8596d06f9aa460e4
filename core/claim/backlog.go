package claim

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

const (
	// maxBacklog and maxBacklogBytes bound the memory that a long outage of the platform can take. A record that
	// is dropped stays open, so later arrivals get outcome-unknown, which is accurate.
	maxBacklog      = 10_000
	maxBacklogBytes = 16 << 20
	// Pauses between passes and between writes keep a daemon's backlog below a share of the platform's rate.
	passPause  = time.Second
	maxPause   = 30 * time.Second
	writePause = 20 * time.Millisecond
	// lastPass bounds the writes at the end of a planned stop.
	lastPass = 5 * time.Second
)

// job is a record that has to be written.
type job struct {
	key    string
	record record
	since  time.Time
}

// backlog holds the records that could not be written, by unique value.
type backlog struct {
	mu    sync.Mutex
	jobs  map[string]job
	bytes int
}

func (b *backlog) add(j job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs == nil {
		b.jobs = make(map[string]job)
	}
	if _, ok := b.jobs[j.record.Unique]; ok || len(b.jobs) >= maxBacklog {
		return
	}
	if b.bytes+len(j.record.Body) > maxBacklogBytes {
		j.record.Body, j.record.Header, j.record.Omitted = nil, nil, true
	}
	j.since = time.Now()
	b.bytes += len(j.record.Body)
	b.jobs[j.record.Unique] = j
}

func (b *backlog) remove(unique string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= len(b.jobs[unique].record.Body)
	delete(b.jobs, unique)
}

func (b *backlog) find(unique string) (record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.jobs[unique]
	return j.record, ok
}

// released tells whether this keeper wrote the unique value and gave up the right to send under it.
func (b *backlog) released(unique string) bool {
	rec, ok := b.find(unique)
	return ok && rec.State == stateNotRun
}

func (b *backlog) list() []job {
	b.mu.Lock()
	defer b.mu.Unlock()
	jobs := make([]job, 0, len(b.jobs))
	for _, j := range b.jobs {
		jobs = append(jobs, j)
	}
	return jobs
}

// Run writes the records that Claim, Finish and Release could not write, until ctx ends, and then once more, because
// what is left is lost with the process.
func (k *Keeper) Run(ctx context.Context) error {
	pause := passPause
	for {
		if err := clock.Sleep(ctx, pause); err != nil {
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastPass)
			defer cancel()
			_ = k.settleAll(last)
			return err
		}
		if k.settleAll(ctx) == nil {
			pause = passPause
		} else {
			pause = min(2*pause, maxPause)
		}
	}
}

// settleAll stops where the platform does not answer, because the next record would most likely fail as well.
func (k *Keeper) settleAll(ctx context.Context) error {
	for _, j := range k.backlog.list() {
		err := k.settle(ctx, j)
		if _, lost := errors.AsType[kv.UnavailableError](err); lost && ageOf(j.since) < k.expiry() {
			return err
		}
		if err == nil || ageOf(j.since) >= k.expiry() {
			k.backlog.remove(j.record.Unique)
		}
		if err := clock.Sleep(ctx, writePause); err != nil {
			return err
		}
	}
	return nil
}

// settle reads the key and writes the job's record unless it is there already or another claim holds the key. Where
// the key is absent, creating the record also keeps a delayed write of the open record from taking effect.
func (k *Keeper) settle(ctx context.Context, j job) error {
	entry, err := k.get(ctx, j.key)
	if _, missing := errors.AsType[kv.NotFoundError](err); missing {
		return k.putRecord(ctx, j, 0)
	}
	if err != nil {
		return err
	}
	found, err := decode(j.key, entry.Value())
	if err != nil {
		return err
	}
	if found.Unique != j.record.Unique || found.State == j.record.State {
		return nil
	}
	return k.putRecord(ctx, j, entry.Revision())
}

func (k *Keeper) putRecord(ctx context.Context, j job, revision uint64) error {
	data, err := j.record.encode()
	if err != nil {
		return err
	}
	lease, err := k.lease(ctx)
	if err != nil {
		return err
	}
	_, err = k.put(ctx, j.key, data, revision, lease)
	if lost, ok := errors.AsType[kv.LeaseLostError](err); ok {
		k.leases.drop(lost.Lease)
	}
	return err
}
