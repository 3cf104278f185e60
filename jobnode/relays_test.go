package jobnode

import (
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
