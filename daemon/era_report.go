package daemon

import (
	"github.com/sirupsen/logrus"

	"radishhollow/core/kv"
	"radishhollow/io/keyvalue"
	"radishhollow/io/telemetry"
)

// maxReportedIDs limits the IDs in one line of the log.
const maxReportedIDs = 50

// reportEras logs and counts each new era in which the store itself answers.
func reportEras(client *keyvalue.Client, m *telemetry.Metrics, log *logrus.Logger) {
	client.Eras.OnBegin = func(before, after uint64) {
		m.Count(telemetry.Eras, "store")
		log.WithFields(logrus.Fields{"before": before, "after": after}).Warn("store has begun a new era")
	}
}

// eraReport collects what the first list of a new era changes. A nil eraReport collects nothing.
type eraReport struct {
	before kv.Revision
	// kept are the endpoints that the list lacks and that may register again, heldBack those that the list has although
	// they have left, and dropped those that the list lacks and that were leaving.
	kept, heldBack, dropped []string
}

func (r *eraReport) keep(id string) {
	if r != nil {
		r.kept = append(r.kept, id)
	}
}

func (r *eraReport) drop(id string) {
	if r != nil {
		r.dropped = append(r.dropped, id)
	}
}

// write logs and counts the changes. The source is "store" or "peer".
func (r *eraReport) write(revision kv.Revision, source string, endpoints int, m *telemetry.Metrics, log *logrus.Logger) {
	if r == nil {
		return
	}
	m.Count(telemetry.Eras, "endpoints")
	m.Add(telemetry.RestoredEndpoints, "kept", len(r.kept))
	m.Add(telemetry.RestoredEndpoints, "dropped", len(r.dropped))
	log.WithFields(logrus.Fields{
		"before": r.before.String(), "revision": revision.String(), "source": source, "endpoints": endpoints,
		"kept": firstIDs(r.kept), "held-back": firstIDs(r.heldBack), "dropped": firstIDs(r.dropped),
	}).Warn("endpoint list of a new era")
}

// holdBack logs and counts an endpoint that a list has although it has left, once in each era. A peer's list, which may
// be the first one of an era, lacks the endpoints that the peer holds back itself.
func (l *endpointList) holdBack(id string) {
	if l.heldBack[id] {
		return
	}
	if l.heldBack == nil {
		l.heldBack = map[string]bool{}
	}
	l.heldBack[id] = true
	l.metrics.Count(telemetry.RestoredEndpoints, "held-back")
	if l.report != nil {
		l.report.heldBack = append(l.report.heldBack, id)
		return
	}
	l.log.WithFields(logrus.Fields{"endpoint": id, "revision": l.revision.String()}).Warn("endpoint of an earlier era held back")
}

func firstIDs(ids []string) []string { return ids[:min(len(ids), maxReportedIDs)] }
