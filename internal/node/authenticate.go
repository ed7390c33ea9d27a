package node

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/requests"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Authenticate implements gateway.Backend.
func (n *Node) Authenticate(_ context.Context, key string) (string, error) {
	if err := n.provedFresh(); err != nil {
		return "", err
	}
	team, ok := n.configurations.get().set.Authenticate(key)
	if !ok {
		return "", refused(gateway.CodeUnauthenticated, 0, "the key is unknown or withdrawn")
	}
	return team, nil
}

// keys authenticates requests to upstreams.
type keys struct{ node *Node }

// Authenticate implements requests.Authenticator. The published concurrency of
// a team holds for the whole cluster, so each member admits an equal part.
func (k keys) Authenticate(key, upstream string) (requests.Team, requests.KeyState) {
	if err := k.node.provedFresh(); err != nil {
		return requests.Team{}, requests.ConfigStale
	}
	c := k.node.configurations.get()
	name, ok := c.set.Authenticate(key)
	if !ok {
		return requests.Team{}, requests.KeyUnknown
	}
	team := requests.Team{Name: name, Weight: max(1, c.contract.Teams[name].Weight)}
	rules, ok := c.upstreams[upstream]
	if !ok {
		return team, requests.KeyValid
	}
	members := max(1, len(k.node.replica.Members()))
	team.Classes = []work.Class{}
	team.MaxInFlight = max(1, int(rules.Concurrency(name))/members)
	for _, class := range []work.Class{work.Urgent, work.Normal, work.Background} {
		if rules.Allows(name, class) {
			team.Classes = append(team.Classes, class)
		}
	}
	return team, requests.KeyValid
}
