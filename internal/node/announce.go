package node

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

const (
	// announceTimeout bounds the announcement of a publication to a peer.
	announceTimeout = 900 * time.Millisecond
	// announceMemory is how long an announced publication that was never read
	// stays open while the log answers. Its append is given up or read long before.
	announceMemory = time.Minute
	// maxAnnounced bounds the open publications.
	maxAnnounced = 1024
)

// announcements are the publications that were announced and not read yet.
// While one is open, an outage of the log does not prove that the
// configuration is the last one: the publication may be in the log already.
type announcements struct {
	mu   sync.Mutex
	open map[string]time.Duration
}

func newAnnouncements() *announcements {
	return &announcements{open: map[string]time.Duration{}}
}

// add opens a publication. It fails if too many are open.
func (a *announcements) add(now time.Duration, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.open) >= maxAnnounced {
		return false
	}
	a.open[id] = now
	return true
}

// close notes that the fate of a publication is known.
func (a *announcements) close(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, id)
}

// any reports whether a publication is open. Old ones are dropped while the
// log answers.
func (a *announcements) any(now time.Duration, logAnswers bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, at := range a.open {
		if logAnswers && now-at > announceMemory {
			delete(a.open, id)
		}
	}
	return len(a.open) > 0
}

// note closes the publications whose fate was read.
func (a *announcements) note(events []ledger.Event) {
	for _, e := range events {
		switch ev := e.(type) {
		case ledger.ConfigurationAccepted:
			a.close(ev.ID)
		case ledger.ConfigurationConflict:
			a.close(ev.ID)
		case ledger.ConfigurationRefused:
			a.close(ev.ID)
		}
	}
}

// announce tells the members about a publication and returns once a majority
// has noted it. Any majority that could confirm an outage then has a member
// that knows that the configuration may be about to change.
func (n *Node) announce(ctx context.Context, id string) error {
	if !n.announced.add(n.clock.Now(), id) {
		return refused(gateway.CodeOverloaded, retryAfterLog, "too many publications are open")
	}
	members := n.replica.Members()
	answers := make(chan bool, len(members))
	asked := 0
	for _, m := range members {
		if m.Node == n.settings.Node.Name {
			continue
		}
		asked++
		go func() { answers <- n.announceTo(m.Node, id, false) }()
	}
	need := max(n.settings.Cluster.Nodes, len(members))/2 + 1
	noted := 1
	for ; asked > 0 && noted < need; asked-- {
		select {
		case ok := <-answers:
			if ok {
				noted++
			}
		case <-ctx.Done():
			asked = 1
		}
	}
	if noted < need {
		n.withdrawAnnouncement(id)
		return refused(gateway.CodeUnavailable, retryAfterLog,
			"the publication is not in force: %d of %d entry nodes could be told about it, %d are needed", noted, max(n.settings.Cluster.Nodes, len(members)), need)
	}
	return nil
}

// announceTo tells one peer. It does not end with the caller, so that peers
// beyond the majority hear of the publication as well.
func (n *Node) announceTo(node, id string, withdrawn bool) bool {
	ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
	defer cancel()
	resp, err := n.peers.PreparePublication(ctx, node, &peerv1.PreparePublicationRequest{Node: n.settings.Node.Name, Id: id, Withdrawn: withdrawn})
	return err == nil && resp.Prepared
}

// withdrawAnnouncement tells all members that a publication was not appended
// and never will be.
func (n *Node) withdrawAnnouncement(id string) {
	n.announced.close(id)
	for _, m := range n.replica.Members() {
		if m.Node != n.settings.Node.Name {
			go n.announceTo(m.Node, id, true)
		}
	}
}

// PreparePublication notes a publication that a peer is about to append.
func (h *peerHandler) PreparePublication(_ context.Context, req *peerv1.PreparePublicationRequest) (*peerv1.PreparePublicationResponse, error) {
	n := h.node
	if req.Withdrawn {
		n.announced.close(req.Id)
		return &peerv1.PreparePublicationResponse{Prepared: true}, nil
	}
	return &peerv1.PreparePublicationResponse{Prepared: n.announced.add(n.clock.Now(), req.Id)}, nil
}
