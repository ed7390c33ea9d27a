package node

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	metricsPath = "/metrics"
	dumpPath    = "/dump"
	explainPath = "/explain/"
)

// Dump is the state of a node for operators. DesiredAge and WorkAge are
// the times since the last complete reads of the two topics.
type Dump struct {
	Node         membership.Node            `json:"node"`
	Ready        bool                       `json:"ready"`
	Version      int64                      `json:"desired_version"`
	DesiredAge   string                     `json:"desired_age"`
	WorkAge      string                     `json:"work_age"`
	Disconnected bool                       `json:"cut"`
	Owner        registry.Ownership         `json:"owner"`
	Nodes        map[string]membership.Node `json:"nodes"`
	Submissions  int                        `json:"submissions"`
	// StoredBytes is how much memory the stored submissions take, estimated.
	StoredBytes int64 `json:"stored_bytes"`
	// AdviceWaiting is the number of advice calls of the owner that wait for a node.
	AdviceWaiting int `json:"advice_waiting"`
	// EvacuatedZones are the zones whose evacuation this node has read.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// Intake is what clients hold open.
	Intake IntakeDump `json:"intake"`
	// Admission is what this node refuses submissions on; nil if it refuses none.
	Admission *admissionDump `json:"admission,omitempty"`
	Term      *owner.Dump    `json:"term,omitempty"`
}

func (n *Node) dump() Dump {
	d := Dump{
		Node: n.selfDescription(), Ready: n.ready(), Disconnected: n.Disconnected(), Nodes: n.members.Nodes(), Submissions: n.registry.Len(), AdviceWaiting: n.pool.Waiting(),
		EvacuatedZones: n.evacuations.current.Load().Names(), Intake: n.intake.dump(), Admission: n.admission.dump(),
	}
	d.Owner, _ = n.registry.Owner()
	d.StoredBytes, _ = n.registry.Storage("")
	if s := n.desired.Load(); s != nil {
		d.Version = s.Version
	}
	now := n.clock.Now()
	if at, ok := n.desiredReader.AsOf(); ok {
		d.DesiredAge = (now - at).String()
	}
	if at, ok := n.workReader.AsOf(); ok {
		d.WorkAge = (now - at).String()
	}
	if o := n.owner(); o != nil {
		t := o.Dump()
		d.Term = &t
	}
	return d
}

// explain returns what is stored about a submission, and on the owner also
// the progress of its steps and why they wait.
func (n *Node) explain(id string) any {
	e, ok := n.registry.Find(id)
	if !ok {
		return map[string]string{"error": "this node knows no such submission"}
	}
	out := struct {
		Entry registry.Entry     `json:"stored"`
		State string             `json:"state"`
		Waits []string           `json:"waits,omitempty"`
		Owner registry.Ownership `json:"owner"`
	}{Entry: e, State: e.State().String()}
	out.Owner, _ = n.registry.Owner()
	if o := n.owner(); o != nil {
		out.Waits = o.Explain(id)
	}
	return out
}

// serveStatus answers the platform's readiness probe and operators.
func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == platform.ReadyPath {
		status := http.StatusOK
		if !n.ready() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	end, ok := n.intake.beginReport()
	if !ok {
		http.Error(w, "too many reports are being made", http.StatusServiceUnavailable)
		return
	}
	defer end()
	n.serveReport(w, r)
}

// serveReport answers operators.
func (n *Node) serveReport(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == metricsPath:
		n.metricsHandler.ServeHTTP(w, r)
	case path == dumpPath:
		writeJSON(w, n.dump())
	case strings.HasPrefix(path, explainPath):
		writeJSON(w, n.explain(strings.TrimPrefix(path, explainPath)))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a write error means that the client has disconnected
}
