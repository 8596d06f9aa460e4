package daemon

import (
	"github.com/sirupsen/logrus"

	"radishhollow/core/kv"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

// applyOrders applies the orders in a full read of the operator's keys, or the changes of a watch.
func (r *rollouts) applyOrders(entries []kv.Entry, revision kv.Revision, full bool) {
	if r == nil {
		return
	}
	listed := map[string]bool{}
	for _, entry := range entries {
		service, isOrder := platform.OrderService(entry.Key())
		switch {
		case !isOrder:
		case entry.Deleted():
			r.withdraw(service, entry.Revision())
		default:
			// A malformed order is no withdrawal of the one in force.
			listed[service] = true
			r.applyOrder(entry)
		}
	}
	if full {
		r.withdrawMissing(listed, revision)
	}
	r.mu.Lock()
	r.ordersRead = kv.Latest(r.ordersRead, revision)
	r.mu.Unlock()
	// Endpoints whose version was held back may be used now.
	r.evaluate()
}

func (r *rollouts) readRevision() kv.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordersRead
}

func (r *rollouts) applyOrder(entry kv.Entry) {
	order, err := platform.DecodeOrder(entry)
	if err == nil {
		err = r.controller.ApplyOrder(order)
	}
	r.mu.Lock()
	known := r.malformed[entry.Key()] == entry.Revision()
	if err == nil {
		delete(r.malformed, entry.Key())
	} else {
		r.malformed[entry.Key()] = entry.Revision()
	}
	r.mu.Unlock()
	if err == nil || known {
		return
	}
	r.metrics.Count(telemetry.RolloutOrders, "malformed")
	r.log.WithFields(logrus.Fields{"key": entry.Key(), "revision": entry.Revision().String()}).WithError(err).
		Warn("order of a roll-out is malformed and has no effect")
}

// withdraw applies the deletion of an order.
func (r *rollouts) withdraw(service string, revision kv.Revision) {
	r.metrics.Count(telemetry.RolloutOrders, "withdrawn")
	r.log.WithFields(logrus.Fields{"service": service, "revision": revision.String()}).Info("order of a roll-out withdrawn")
	r.controller.WithdrawOrder(service, revision)
}

// withdrawMissing withdraws the orders that a full read lacks, whose deletions the watch may have missed. An order that is newer
// than the read, or that the store has lost with the end of an era, is not withdrawn.
func (r *rollouts) withdrawMissing(listed map[string]bool, revision kv.Revision) {
	for _, state := range r.active() {
		if !listed[state.Service] && revision.SameEra(state.Revision) && revision.After(state.Revision) {
			r.withdraw(state.Service, revision)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.malformed {
		if service, _ := platform.OrderService(key); !listed[service] {
			delete(r.malformed, key)
		}
	}
}
