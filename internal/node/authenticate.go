package node

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/requests"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Authenticate implements gateway.Backend.
func (n *Node) Authenticate(_ context.Context, key string) (string, error) {
	if err := n.checkConfigFresh(); err != nil {
		return "", err
	}
	team, ok := n.configurations.get().set.Authenticate(key)
	if !ok {
		return "", refused(gateway.CodeUnauthenticated, 0, "the key is unknown or withdrawn")
	}
	return team, nil
}

// keyAuthenticator authenticates requests to upstreams.
type keyAuthenticator struct{ node *Node }

// Authenticate implements requests.Authenticator. The published concurrency of
// a team applies to the whole cluster, so each member admits an equal share.
func (k keyAuthenticator) Authenticate(key, upstream string) (requests.Team, requests.KeyState) {
	if err := k.node.checkConfigFresh(); err != nil {
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
