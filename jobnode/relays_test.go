package jobnode

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/relay"
)

// TestOnlyLivingNodesCarryOrders guards against orders that are sent to the dispatcher itself, to a node that stops, that has been silent for
// long, or that runs a version which doesn't listen for other nodes.
func TestOnlyLivingNodesCarryOrders(t *testing.T) {
	const now = 1000
	nodes := map[string]ledger.Node{
		"own":      {Address: "127.0.0.1:1", AtMS: now},
		"former":   {Address: "", AtMS: now},
		"gone":     {Address: "127.0.0.1:2", AtMS: now - 1},
		"stopping": {Address: "127.0.0.1:3", AtMS: now, Stopping: true},
		"works":    {Address: "127.0.0.1:4", AtMS: now, DataCentre: "z", Cores: 0.2},
	}
	assert.Equal(t, []relay.Member{{Name: "works", Address: "127.0.0.1:4", DataCentre: "z", Cores: 0.2}}, relayMembers(nodes, "own", now))
}
