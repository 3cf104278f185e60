package jobnode

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/relay"
)

// TestOnlyAvailableNodesRelayOrders guards against relaying orders through the dispatcher itself, or through a node that is stopping, has been
// silent for long, or runs a version that doesn't listen for other nodes.
func TestOnlyAvailableNodesRelayOrders(t *testing.T) {
	const now = 1000
	nodes := map[string]ledger.Node{
		"own":      {Address: "127.0.0.1:1", AtMS: now},
		"older":    {Address: "", AtMS: now},
		"silent":   {Address: "127.0.0.1:2", AtMS: now - 1},
		"stopping": {Address: "127.0.0.1:3", AtMS: now, Stopping: true},
		"usable":   {Address: "127.0.0.1:4", AtMS: now, DataCentre: "z", Cores: 0.2},
	}
	assert.Equal(t, []relay.Member{{Name: "usable", Address: "127.0.0.1:4", DataCentre: "z", Cores: 0.2}}, relayMembers(nodes, "own", now))
}

// TestStrongNodesRelayOrders guards against a dispatcher that exchanges single messages with each of hundreds of weak nodes, and against a data centre
// whose only strong node relays everything.
func TestStrongNodesRelayOrders(t *testing.T) {
	nodes := map[string]ledger.Node{"own": {Address: "a", DataCentre: "x", Cores: 0.8}}
	for _, dataCentre := range []string{"x", "y"} {
		for i := range 5 {
			nodes[fmt.Sprintf("weak-%s%d", dataCentre, i)] = ledger.Node{Address: "a", DataCentre: dataCentre, Cores: 0.2}
		}
	}
	nodes["strong-x1"], nodes["strong-x2"] = ledger.Node{Address: "a", DataCentre: "x", Cores: 0.8}, ledger.Node{Address: "a", DataCentre: "x", Cores: 0.7}
	nodes["strong-y1"] = ledger.Node{Address: "a", DataCentre: "y", Cores: 0.8}
	var names []string
	for _, m := range relayMembers(nodes, "own", 0) {
		names = append(names, m.Name)
	}
	assert.Equal(t, []string{"strong-x1", "strong-x2", "strong-y1", "weak-y0", "weak-y1", "weak-y2", "weak-y3", "weak-y4"}, names)
}
