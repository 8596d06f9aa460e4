package peer

import (
	"math/rand/v2"

	"radishhollow/core/kv"
	"radishhollow/core/version"
	"radishhollow/io/peer/rpc"
)

// sentHistories returns the histories to send: all of them, or a random part if there are more than a view takes.
func (n *Node) sentHistories() []version.Report {
	if n.Histories == nil {
		return nil
	}
	reports := n.Histories()
	if len(reports) > maxSentHistories {
		rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	}
	return reports[:min(maxSentHistories, len(reports))]
}

// historiesToWire leaves out histories that a peer would not accept, which it then reads from the key-value service.
func historiesToWire(reports []version.Report) []*rpc.VersionHistory {
	var histories []*rpc.VersionHistory
	for _, r := range reports {
		h := &rpc.VersionHistory{
			Service: r.Service, Base: r.Base, Others: r.Others, Era: r.Era,
			Revision: r.Revision.Number(), RevisionEra: r.Revision.Era(),
		}
		if areValidHistories([]*rpc.VersionHistory{h}) {
			histories = append(histories, h)
		}
	}
	return histories
}

func historiesFromWire(histories []*rpc.VersionHistory) []version.Report {
	var reports []version.Report
	for _, h := range histories {
		reports = append(reports, version.Report{
			History: version.History{
				Service: h.GetService(), Base: h.GetBase(), Others: h.GetOthers(), Era: h.GetEra(),
			},
			Revision: kv.NewRevision(h.GetRevisionEra(), h.GetRevision()),
		})
	}
	return reports
}

func areValidHistories(histories []*rpc.VersionHistory) bool {
	for _, h := range histories {
		if h.GetService() == "" || h.GetRevision() == 0 || len(h.GetOthers()) > maxReceivedItems ||
			!withinStringLimit(h.GetService(), h.GetBase()) || !withinStringLimit(h.GetOthers()...) {
			return false
		}
	}
	return true
}

// mergeHistories passes on the histories of a merged view.
func (n *Node) mergeHistories(reports []version.Report) {
	if n.MergeHistories != nil && len(reports) > 0 {
		n.MergeHistories(reports)
	}
}
