package jobnode

import (
	"context"
	"slices"
	"strings"
	"time"

	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/relay"
)

// relaysPause is the pause between two looks at which nodes may carry orders.
const relaysPause = 500 * time.Millisecond

// keepRelays says which nodes carry this dispatcher's orders, until ctx ends.
func (d *dispatcher) keepRelays(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, relaysPause) {
		d.chooseRelays()
	}
}

// chooseRelays says which nodes carry this dispatcher's orders now: none up to a number of servers, since a hop less is faster.
func (d *dispatcher) chooseRelays() {
	d.mu.Lock()
	servers := len(d.core.Servers())
	d.mu.Unlock()
	var members []relay.Member
	if servers > d.node.settings.DirectServers {
		d.follower.mu.Lock()
		members = relayMembers(d.follower.ledger.Nodes, d.node.settings.Name, time.Now().Add(-absentAfter).UnixMilli())
		d.follower.mu.Unlock()
	}
	d.servers.SetMembers(members)
}

// relayMembers returns the nodes that may carry orders of the node own: those that listen, aren't stopping and have said so since a time.
func relayMembers(nodes map[string]ledger.Node, own string, sinceMS int64) []relay.Member {
	var members []relay.Member
	for name, n := range nodes {
		if name != own && n.Address != "" && !n.Stopping && n.AtMS >= sinceMS {
			members = append(members, relay.Member{Name: name, Address: n.Address, DataCentre: n.DataCentre, Cores: n.Cores})
		}
	}
	slices.SortFunc(members, func(a, b relay.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
