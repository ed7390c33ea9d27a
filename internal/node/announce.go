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
	// announceTimeout is the timeout for announcing a publication to one peer.
	announceTimeout = 900 * time.Millisecond
	// announcementRetention is how long an announced publication whose outcome
	// has not been read stays open while the log answers. Its append has timed
	// out or has been read long before that.
	announcementRetention = time.Minute
	// maxOpenAnnouncements is the maximum number of open publications.
	maxOpenAnnouncements = 1024
)

// announcements holds the publications that were announced and whose outcome
// has not been read from the log. While one is open, an outage of the log does
// not prove that the configuration is the latest: the publication may already
// be in the log.
type announcements struct {
	mu       sync.Mutex
	openedAt map[string]time.Duration
}

func newAnnouncements() *announcements {
	return &announcements{openedAt: map[string]time.Duration{}}
}

// add opens a publication. It returns false if too many are open.
func (a *announcements) add(now time.Duration, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.openedAt) >= maxOpenAnnouncements {
		return false
	}
	a.openedAt[id] = now
	return true
}

// close removes a publication whose outcome is known.
func (a *announcements) close(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.openedAt, id)
}

// any reports whether any publication is open. While the log answers, it first
// removes those older than announcementRetention.
func (a *announcements) any(now time.Duration, logAnswers bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, at := range a.openedAt {
		if logAnswers && now-at > announcementRetention {
			delete(a.openedAt, id)
		}
	}
	return len(a.openedAt) > 0
}

// closeDecided closes the publications whose outcome is among the events.
func (a *announcements) closeDecided(events []ledger.Event) {
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

// announce announces a publication to the members and returns once a majority
// has acknowledged it. Every majority that could confirm an outage then has a
// member that knows that the configuration may be about to change.
func (n *Node) announce(ctx context.Context, id string) error {
	if !n.announced.add(n.clock.Now(), id) {
		return refused(gateway.CodeOverloaded, logRetryAfter, "too many publications await their outcome")
	}
	members := n.replica.Members()
	answers := make(chan bool, len(members))
	pending := 0
	for _, m := range members {
		if m.Node == n.settings.Node.Name {
			continue
		}
		pending++
		go func() { answers <- n.announceTo(m.Node, id, false) }()
	}
	need := max(n.settings.Cluster.Nodes, len(members))/2 + 1
	acknowledged := 1
	for ; pending > 0 && acknowledged < need; pending-- {
		select {
		case ok := <-answers:
			if ok {
				acknowledged++
			}
		case <-ctx.Done():
			pending = 1
		}
	}
	if acknowledged < need {
		n.withdrawAnnouncement(id)
		return refused(gateway.CodeUnavailable, logRetryAfter,
			"the publication is not in force: %d of %d entry nodes acknowledged its announcement, %d are needed", acknowledged, max(n.settings.Cluster.Nodes, len(members)), need)
	}
	return nil
}

// announceTo announces a publication, or its withdrawal, to one peer. It does
// not stop with the caller's context, so that peers beyond the majority receive
// the announcement as well.
func (n *Node) announceTo(node, id string, withdrawn bool) bool {
	ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
	defer cancel()
	resp, err := n.peers.PreparePublication(ctx, node, &peerv1.PreparePublicationRequest{Node: n.settings.Node.Name, Id: id, Withdrawn: withdrawn})
	return err == nil && resp.Prepared
}

// withdrawAnnouncement informs all members that a publication was not appended
// and never will be.
func (n *Node) withdrawAnnouncement(id string) {
	n.announced.close(id)
	for _, m := range n.replica.Members() {
		if m.Node != n.settings.Node.Name {
			go n.announceTo(m.Node, id, true)
		}
	}
}

// PreparePublication records a publication that a peer is about to append.
func (h *peerHandler) PreparePublication(_ context.Context, req *peerv1.PreparePublicationRequest) (*peerv1.PreparePublicationResponse, error) {
	n := h.node
	if req.Withdrawn {
		n.announced.close(req.Id)
		return &peerv1.PreparePublicationResponse{Prepared: true}, nil
	}
	return &peerv1.PreparePublicationResponse{Prepared: n.announced.add(n.clock.Now(), req.Id)}, nil
}
