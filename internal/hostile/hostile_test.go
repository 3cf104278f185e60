//go:build hostile

package hostile

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The crowds and the bounds. The bound on memory is that of the settings. The one on descriptors leaves a process room for connections to other nodes,
// the store and backend servers.
const (
	manyDescriptors = 4100
	fewDescriptors  = 384
	descriptorBound = 300
	crowdPerTarget  = 250
	crowdOfBodies   = 300
	crowdOfOpen     = 320
	crowdOfLegal    = 400
	stormPerTarget  = 1500
	stormWorkers    = 20
)

// variants are the crowds: which clients, how many to each target, and how many descriptors a process has.
var variants = []struct {
	behaviour        string
	perTarget, limit int
	alsoEntry        bool // the crowd is sent to an entry VM too
}{
	{"short-lines", crowdPerTarget, manyDescriptors, true},
	{"many-names", crowdPerTarget, manyDescriptors, false},
	{"small-names", crowdPerTarget, manyDescriptors, false},
	{"legal-heads", crowdOfLegal, manyDescriptors, true},
	{"folded-lines", crowdPerTarget, manyDescriptors, false},
	{"spaced-lines", crowdPerTarget, manyDescriptors, false},
	{"no-colon", crowdPerTarget, manyDescriptors, false},
	{"endless-line", crowdPerTarget, manyDescriptors, false},
	{"endless-request-line", crowdPerTarget, manyDescriptors, false},
	{"endless-head", crowdPerTarget, manyDescriptors, true},
	{"empty-lines", crowdPerTarget, manyDescriptors, false},
	{"whole-bodies", crowdOfBodies, manyDescriptors, false},
	{"many-steps", crowdOfBodies, manyDescriptors, false},
	{"short-of-end", crowdOfBodies, manyDescriptors, true},
	{"bodies-in-pieces", crowdOfBodies, manyDescriptors, false},
	{"chunks", crowdOfBodies, manyDescriptors, true},
	{"small-chunks", crowdOfBodies, manyDescriptors, false},
	{"pipelined", crowdOfLegal, manyDescriptors, false},
	{"half-heads", crowdOfOpen, fewDescriptors, true},
	{"idle", crowdOfOpen, fewDescriptors, true},
}

// TestCrowdsEndNoNode guards against clients beyond the limits that end a node, take it over its memory, or keep it from answering ordinary callers. The
// crowd calls two nodes of three.
func TestCrowdsEndNoNode(t *testing.T) {
	for _, v := range variants {
		t.Run(v.behaviour, func(t *testing.T) {
			nodes := startNodes(t, v.limit)
			c := attack(nodes[:2], v.perTarget, attackOf(t, v.behaviour))
			check(t, nodes, v.limit)
			c.close()
			check(t, nodes, v.limit)
		})
	}
}

// TestCrowdsEndNoEntryVM guards against the same at an entry VM.
func TestCrowdsEndNoEntryVM(t *testing.T) {
	for _, v := range variants {
		if !v.alsoEntry {
			continue
		}
		t.Run(v.behaviour, func(t *testing.T) {
			targets := []*target{startEntry(t, v.limit)}
			c := attack(targets, v.perTarget, attackOf(t, v.behaviour))
			check(t, targets, v.limit)
			c.close()
			check(t, targets, v.limit)
		})
	}
}

// TestStormEndsNoNode guards against connections that are opened and closed without end.
func TestStormEndsNoNode(t *testing.T) {
	nodes := startNodes(t, fewDescriptors)
	storm(nodes[:2], stormPerTarget, stormWorkers)
	check(t, nodes, fewDescriptors)
}

// check checks that an ordinary call is answered, also by the nodes without a crowd, that each process lives, and that it has stayed within its bounds.
func check(t *testing.T, targets []*target, descriptors int) {
	t.Helper()
	for _, n := range targets {
		eventually(t, n.name+" answers an ordinary call", func() bool { return n.ordinary(t) || !n.lives() })
		if !assert.True(t, n.lives(), "%s has ended", n.name) {
			continue
		}
		n.finished(t)
		open := n.descriptors()
		assert.LessOrEqual(t, open, min(descriptors, max(descriptorBound, descriptors/2)), "open descriptors of %s", n.name)
		peak, err := n.peakMB()
		if assert.NoError(t, err, n.name) {
			assert.LessOrEqual(t, peak, memoryMB, "peak memory of %s in MB", n.name)
		}
		t.Logf("%s: peak %d MB, %d descriptors", n.name, peak, open)
	}
}
