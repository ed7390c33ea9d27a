package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/acceptance"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// relayAppender implements front.RecordAppender. It appends the records of callers to
// the work topic, or relays them to another node while the store is slow.
type relayAppender struct{ node *Node }

// Append implements front.RecordAppender.
func (a relayAppender) Append(ctx context.Context, r platform.Record) error {
	n := a.node
	target := n.relayTarget()
	if target == "" {
		return n.workAppender.Append(ctx, r)
	}
	relayCtx, cancel := context.WithTimeout(ctx, acceptance.SecondWayDelay(n.StoreAnswerTime()))
	err := n.pool.Append(relayCtx, target, r)
	cancel()
	if err == nil || ctx.Err() != nil {
		return err
	}
	n.log.Debug("front: A record could not be appended through another node; this node appends it.", "key", r.Key, "node", target, "error", err)
	own := n.workAppender.Append(ctx, r)
	if own == nil {
		return nil
	}
	return verdict.Wrap(own, verdict.Of(err).Merge(verdict.Of(own)), "not-stored")
}

// MayStore implements front.RecordAppender.
func (a relayAppender) MayStore(key string) bool { return a.node.workAppender.MayStore(key) }

// relayTarget returns the node through which this node appends the records of callers
// at present, or an empty string if it appends them itself.
func (n *Node) relayTarget() string {
	v := acceptance.RelayInput{Self: n.self.Name, AnswerTime: n.StoreAnswerTime()}
	if !acceptance.IsSlow(v.AnswerTime) {
		return ""
	}
	o, _ := n.registry.Owner()
	v.Owner = o.Node
	for _, f := range n.followers() {
		v.Followers = append(v.Followers, f.Name)
	}
	return acceptance.RelayTarget(v)
}

// StoreAnswerTime implements front.State.
func (n *Node) StoreAnswerTime() time.Duration { return n.storeMeter.Smoothed() }

// AppendRecord implements peers.Handler. The record is never relayed a second time.
func (n *Node) AppendRecord(ctx context.Context, r *peers.AppendRequest) (*peers.AppendResponse, error) {
	err := n.workAppender.Append(ctx, platform.Record{Key: r.Key, Value: r.Value})
	if err == nil {
		return &peers.AppendResponse{Verdict: verdict.DidRun}, nil
	}
	return &peers.AppendResponse{Verdict: verdict.Of(err), Reason: err.Error()}, nil
}
