package daemon

import (
	"github.com/sirupsen/logrus"

	"radishhollow/core/member"
	"radishhollow/core/quarantine"
	"radishhollow/io/forward"
	"radishhollow/io/peer"
	"radishhollow/io/telemetry"
)

// newRegister returns the evidence on parts of prompts that crash engines, which the daemons exchange.
func newRegister(
	id Identity, drain *Drain, members *member.Table, peers *peer.Exchanger, m *telemetry.Metrics, log *logrus.Logger,
) *quarantine.Register {
	register := &quarantine.Register{
		Self: id.address, Peers: members.Addresses, Leaving: drain.Draining, OnEvidence: peers.TriggerExchange,
		OnChange: func(change quarantine.Change) {
			class, message := "released", "parts released"
			if change.Quarantined {
				class, message = "quarantined", "parts quarantined"
			}
			m.Count(telemetry.Quarantine, class)
			log.WithFields(logrus.Fields{"parts": forward.FormatParts(change.Parts), "ends": change.Ends}).Warn(message)
		},
	}
	register.OnTrial = func(parts []quarantine.Part) {
		m.Count(telemetry.Quarantine, "trial")
		log.WithField("parts", forward.FormatParts(parts)).Warn("request with quarantined parts admitted as a trial")
	}
	m.Gauge(telemetry.QuarantinedParts, func() float64 { return float64(register.Quarantined()) })
	// fx constructs all components before the first OnStart, so the node does not serve yet.
	peers.Node.Evidence, peers.Node.MergeEvidence = register.Evidence, register.Merge
	return register
}

// useRegister makes the server admit streams and record evidence by the register.
func useRegister(server *forward.Server, register *quarantine.Register, m *telemetry.Metrics) {
	server.Admit = register.Admit
	server.RecordEnd = func(incarnation string, parts []quarantine.Part) {
		m.Count(telemetry.Quarantine, "end")
		register.RecordEnd(incarnation, parts)
	}
	server.RecordLived = func(parts []quarantine.Part) {
		m.Count(telemetry.Quarantine, "lived")
		register.RecordLived(parts)
	}
}
