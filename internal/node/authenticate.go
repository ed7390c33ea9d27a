package node

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/requests"
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

// Authenticate implements requests.Authenticator.
func (k keys) Authenticate(key string) (requests.Team, requests.KeyState) {
	if err := k.node.provedFresh(); err != nil {
		return requests.Team{}, requests.ConfigStale
	}
	c := k.node.configurations.get()
	name, ok := c.set.Authenticate(key)
	if !ok {
		return requests.Team{}, requests.KeyUnknown
	}
	return requests.Team{Name: name, Weight: max(1, c.contract.Teams[name].Weight)}, requests.KeyValid
}
