package jobnode

import (
	"context"
	"slices"
	"strings"
	"time"

	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/relay"
)

// relayRefreshDelay is the delay between two updates of the list of relays.
const relayRefreshDelay = 500 * time.Millisecond

// refreshRelays keeps the list of relays up to date until ctx ends.
func (d *dispatcher) refreshRelays(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, relayRefreshDelay) {
		d.chooseRelays()
	}
}

// chooseRelays determines which nodes relay this dispatcher's orders: none up to a number of servers, since direct calls are faster.
func (d *dispatcher) chooseRelays() {
	d.mu.Lock()
	servers := len(d.core.Servers())
	d.mu.Unlock()
	var members []relay.Member
	if servers > d.node.settings.DirectServers {
		d.follower.mu.Lock()
		members = relayMembers(d.follower.ledger.Nodes, d.node.settings.Name, time.Now().Add(-absenceTimeout).UnixMilli())
		d.follower.mu.Unlock()
	}
	d.servers.SetMembers(members)
}

// relayMembers returns the nodes that can relay orders of the node own: those that listen, aren't stopping, and have stored their record since a time. In a
// data centre with several strong nodes these relay all orders, since fewer connections carry more messages at once.
func relayMembers(nodes map[string]ledger.Node, own string, sinceMS int64) []relay.Member {
	var members []relay.Member
	for name, n := range nodes {
		if name != own && n.Address != "" && !n.Stopping && n.AtMS >= sinceMS {
			members = append(members, relay.Member{Name: name, Address: n.Address, DataCentre: n.DataCentre, Cores: n.Cores})
		}
	}
	members = strongMembers(members)
	slices.SortFunc(members, func(a, b relay.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

const (
	// strongRelayShare is the share of the strongest node's processors from which a node is a strong relay, as for the dispatcher role.
	strongRelayShare = 0.75
	// minStrongRelays is the number of strong nodes of a data centre from which on only they relay orders, so that one can fail.
	minStrongRelays = 2
)

// strongMembers returns the members without the weak ones of data centres that have enough strong ones.
func strongMembers(members []relay.Member) []relay.Member {
	mostCores := 0.0
	for _, m := range members {
		mostCores = max(mostCores, m.Cores)
	}
	strong := map[string]int{} // by data centre
	for _, m := range members {
		if m.Cores >= strongRelayShare*mostCores {
			strong[m.DataCentre]++
		}
	}
	return slices.DeleteFunc(members, func(m relay.Member) bool {
		return m.Cores < strongRelayShare*mostCores && strong[m.DataCentre] >= minStrongRelays
	})
}
