package version

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

const (
	// maxBatch is the number of records in one write. The key-value service takes 32 entries.
	maxBatch = 32
	// minRetryDelay and maxRetryDelay bound the delay after a failed write, which doubles.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// passDelay is the time after which a stream whose record cannot be written goes on without one, where that is safe.
	passDelay = 300 * time.Millisecond
	// leaseUse is the time for which records get the same lease, and leaseMargin what a lease lasts longer than the records
	// are needed: it may run on while the key-value service is away.
	leaseUse    = time.Minute
	leaseMargin = 3 * time.Minute
	// maxKept bounds the records that are kept to be written anew in another era.
	maxKept = 1 << 16
	// maxNameWrites bounds the attempts to write a history that other daemons write at the same time.
	maxNameWrites = 8
)

// pending is the record of a stream that is to be written.
type pending struct {
	stream  Stream
	version string
	// done is closed once the stream may go on. It is nil for a record that nothing waits for.
	done chan struct{}
	// dropped is set when nothing waits for the record and its stream has not begun.
	dropped *atomic.Bool
}

// Begin returns once the first event of a stream may be passed on, which a version has sent. Find then returns that version.
// While the key-value service is away, a stream of another version than the base waits, unless its version is the only one
// listed: it could then be taken for one of the base, which has no endpoint.
func (r *Register) Begin(ctx context.Context, stream Stream, version string) error {
	r.init()
	if r.isBase(stream.Service, version) {
		if !r.isUniformService(stream.Service) {
			// If the queue is full, the stream has no record.
			r.queue.TryPush(&pending{stream: stream, version: version})
		}
		return nil
	}
	p := &pending{stream: stream, version: version, done: make(chan struct{}), dropped: &atomic.Bool{}}
	if err := r.queue.Push(ctx, p); err != nil {
		return errors.Trace(err)
	}
	ticker := time.NewTicker(passDelay)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return nil
		case <-ctx.Done():
			p.dropped.Store(true)
			return errors.Trace(ctx.Err())
		case <-ticker.C:
			if r.mayPass(stream.Service, version) {
				r.count(Passed)
				return nil
			}
		}
	}
}

func (r *Register) isBase(name, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	return s.known && s.report.Base == version
}

func (r *Register) isUniformService(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isUniform(r.service(name))
}

// mayPass reports whether a stream may go on before it has a record.
func (r *Register) mayPass(name, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	return r.failing.Load() && len(s.listed) == 1 && s.listed[0] == version
}

// loopRecord writes records, those that have come meanwhile in one call.
func (r *Register) loopRecord(ctx context.Context) {
	var batch []*pending
	for delay := time.Duration(0); ; {
		if len(batch) == 0 {
			p, err := r.queue.Pop(ctx)
			if err != nil {
				return
			}
			batch = append(batch, p)
		}
		for len(batch) < maxBatch && r.queue.Len() > 0 {
			p, err := r.queue.Pop(ctx)
			if err != nil {
				return
			}
			batch = append(batch, p)
		}
		if batch = withoutDropped(batch); len(batch) == 0 {
			continue
		}
		err := r.record(ctx, batch)
		if r.setFailing(err); err == nil {
			batch, delay = batch[:0], 0
			continue
		}
		delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
		if clock.Sleep(ctx, delay) != nil {
			return
		}
	}
}

func withoutDropped(batch []*pending) []*pending {
	kept := batch[:0]
	for _, p := range batch {
		if p.dropped == nil || !p.dropped.Load() {
			kept = append(kept, p)
		}
	}
	return kept
}

// record writes a batch and lets its streams go on.
func (r *Register) record(ctx context.Context, batch []*pending) error {
	values := map[string][]byte{}
	longest := time.Duration(0)
	for _, p := range batch {
		if err := r.name(ctx, p.stream.Service, p.version); err != nil {
			return err
		}
		if r.isUniformService(p.stream.Service) {
			continue
		}
		value, err := encode(record{Version: p.version})
		if err != nil {
			return err
		}
		values[p.stream.key()] = value
		longest = max(longest, r.Retention(p.stream.Service))
	}
	if len(values) > 0 {
		if err := r.putAll(ctx, values, longest); err != nil {
			return err
		}
	}
	r.finish(batch, values)
	return nil
}

// finish keeps the written records and lets the streams of a batch go on.
func (r *Register) finish(batch []*pending, values map[string][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range batch {
		if key := p.stream.key(); values[key] != nil && len(r.kept) < maxKept {
			r.kept[key] = keptRecord{pending: pending{stream: p.stream, version: p.version}, at: time.Now()}
			r.count(Written)
		}
		if p.done != nil {
			close(p.done)
		}
	}
}

// name makes sure that the history names a version.
func (r *Register) name(ctx context.Context, service, version string) error {
	r.mu.Lock()
	s := r.service(service)
	report, current := s.report, s.known && (s.checked || s.report.Base == version)
	r.mu.Unlock()
	var err error
	for range maxNameWrites {
		if !current {
			report, err = r.read(ctx, service)
			if _, conflict := errors.AsType[kv.ConflictError](err); err != nil && !conflict {
				return err
			}
		}
		named := report.with(version)
		if len(named.Others) == len(report.Others) {
			return nil
		}
		report, err = r.write(ctx, named, report.Revision)
		if _, conflict := errors.AsType[kv.ConflictError](err); err != nil && !conflict {
			return err
		}
		current = true
	}
	return errors.Trace(err)
}

// putAll writes records with a lease that outlasts them.
func (r *Register) putAll(ctx context.Context, values map[string][]byte, retention time.Duration) error {
	r.mu.Lock()
	lease, from := r.lease, r.leaseFrom
	r.mu.Unlock()
	if lease.IsZero() || lease.Era() != r.Era() || time.Since(from) >= leaseUse {
		var err error
		if lease, err = r.Store.Grant(ctx, retention+leaseUse+leaseMargin); err != nil {
			return errors.Trace(err)
		}
		r.setLease(lease)
	}
	err := r.Store.PutAll(ctx, values, lease)
	if _, lost := errors.AsType[kv.LeaseLostError](err); lost {
		r.setLease(kv.Lease{})
	}
	return errors.Trace(err)
}

func (r *Register) setLease(lease kv.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.leaseFrom = lease, time.Now()
}

func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Trace(MalformedError{Cause: err})
	}
	return data, nil
}
