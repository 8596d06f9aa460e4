package peer

import (
	"radishhollow/core/quarantine"
	"radishhollow/io/peer/rpc"
)

// limitParts returns the ends whose parts fit into a view. An end is sent whole or not at all, because the part that
// caused it could be among the others. The first end is sent in any case.
func limitParts(ends []quarantine.End, maxParts int) []quarantine.End {
	list, total := make([]quarantine.End, 0, len(ends)), 0
	for i, e := range ends {
		if i > 0 && total+len(e.Parts) > maxParts {
			continue
		}
		list = append(list, e)
		total += len(e.Parts)
	}
	return list
}

func evidenceToWire(e quarantine.Evidence) (ends []*rpc.End, clearances []*rpc.Clearance) {
	for _, end := range e.Ends {
		parts := make([]uint64, len(end.Parts))
		for i, p := range end.Parts {
			parts[i] = uint64(p)
		}
		ends = append(ends, &rpc.End{Endpoint: end.Endpoint, AgeMs: toMS(end.Age), Parts: parts})
	}
	for _, c := range e.Clearances {
		clearances = append(clearances, &rpc.Clearance{Part: uint64(c.Part), AgeMs: toMS(c.Age)})
	}
	return ends, clearances
}

func evidenceFromWire(w *rpc.View) quarantine.Evidence {
	var e quarantine.Evidence
	for _, end := range w.GetEnds() {
		parts := make([]quarantine.Part, len(end.GetParts()))
		for i, p := range end.GetParts() {
			parts[i] = quarantine.Part(p)
		}
		e.Ends = append(e.Ends, quarantine.End{Endpoint: end.GetEndpoint(), Parts: parts, Age: fromMS(end.GetAgeMs())})
	}
	for _, c := range w.GetClearances() {
		e.Clearances = append(e.Clearances, quarantine.Clearance{Part: quarantine.Part(c.GetPart()), Age: fromMS(c.GetAgeMs())})
	}
	return e
}

// evidenceItems returns the number of items of a received view that evidence takes, including the parts of the ends.
func evidenceItems(w *rpc.View) int {
	items := len(w.GetEnds()) + len(w.GetClearances())
	for _, end := range w.GetEnds() {
		items += len(end.GetParts())
	}
	return items
}

func isValidEvidence(w *rpc.View) bool {
	for _, end := range w.GetEnds() {
		if end.GetEndpoint() == "" || !withinStringLimit(end.GetEndpoint()) {
			return false
		}
	}
	return true
}

// mergeEvidence passes on the evidence of a merged view.
func (n *Node) mergeEvidence(e quarantine.Evidence) {
	if n.MergeEvidence != nil && len(e.Ends)+len(e.Clearances) > 0 {
		n.MergeEvidence(e)
	}
}
