package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/front"
	"github.com/medlarpulley/medlarpulley/internal/cell/intake"
)

// intakeReportInterval is the time between two updates of the limits and the gauges of
// the intake. Stored work, to which the limits adapt, grows over seconds.
const intakeReportInterval = time.Second

// IntakeDump is the state of the bounds for clients.
type IntakeDump struct {
	Bodies            front.BodiesStats       `json:"bodies"`
	PeerMessages      intake.BudgetStats      `json:"peer_messages"`
	CallerConnections intake.ConnectionsStats `json:"caller_connections"`
	PeerConnections   intake.ConnectionsStats `json:"peer_connections"`
	StatusConnections intake.ConnectionsStats `json:"status_connections"`
}

func (c *clientIntake) dump() IntakeDump {
	return IntakeDump{
		Bodies: c.bodies.Stats(), PeerMessages: c.peers.Stats(), CallerConnections: c.callers.Stats(),
		PeerConnections: c.peers.Connections.Stats(), StatusConnections: c.status.Stats(),
	}
}

// reportIntake adapts the intake to the memory in use, and updates its gauges, until ctx
// ends.
func (n *Node) reportIntake(ctx context.Context) {
	ticker := time.NewTicker(intakeReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.intake.adapt(memoryInUse())
		d := n.intake.dump()
		for name, s := range map[string]intake.BudgetStats{"callers": d.Bodies.BudgetStats, "peers": d.PeerMessages} {
			scope := n.metrics.Tagged(map[string]string{"address": name})
			scope.Gauge("intake_bytes_limit").Update(float64(s.Limit))
			scope.Gauge("intake_bytes_receiving").Update(float64(s.Receiving))
			scope.Gauge("intake_bytes_processing").Update(float64(s.Processing))
			scope.Gauge("intake_shed").Update(float64(s.Shed))
			scope.Gauge("intake_refused").Update(float64(s.Refused))
		}
		n.metrics.Tagged(map[string]string{"address": "callers"}).Gauge("intake_timed_out").Update(float64(d.Bodies.TimedOut))
		for name, s := range map[string]intake.ConnectionsStats{"callers": d.CallerConnections, "peers": d.PeerConnections, "status": d.StatusConnections} {
			scope := n.metrics.Tagged(map[string]string{"address": name})
			scope.Gauge("connections_limit").Update(float64(s.Limit))
			scope.Gauge("connections_open").Update(float64(s.Open))
			scope.Gauge("connections_evicted").Update(float64(s.Evicted))
			scope.Gauge("connections_refused").Update(float64(s.Refused))
		}
	}
}
