// Package election decides which node claims the dispatcher role, and when. It reads no clock and does no I/O. Safety doesn't depend on it:
// the first claim of an epoch in the ledger wins, and the store and the backend servers reject earlier epochs.
package election

import (
	"cmp"
	"slices"
	"time"

	"example.org/comfreyrouter/ledger"
)

const (
	// SilenceTimeout is how long the dispatcher must be silent before another node claims its role, if the store answers promptly: two renewals
	// and the pause between two reads of the ledger, with some slack.
	SilenceTimeout = 800 * time.Millisecond
	// SuspicionTimeout is the silence after which a node measures the latency of the store: a renewal and the pause between two reads.
	SuspicionTimeout = 600 * time.Millisecond
	// latencyFactor is how many times the latency of the store is added to SilenceTimeout if the store is slow: an append waits up to 2 s for
	// others, which is six times the latency on the slowest days.
	latencyFactor = 10
	// promptLatency is the largest latency that counts as prompt: the store answers in about 4 ms, but a busy node reads an answer late.
	promptLatency = 40 * time.Millisecond
	// ClaimInterval is the time between the claims of two nodes that follow each other in rank, so that not all claim at the same time. The others
	// see a claim after an append and the pause between two reads of the ledger.
	ClaimInterval = 100 * time.Millisecond
	// maxClaimIntervals bounds the delay of a claim, so that the role isn't vacant for long when the first nodes are cut off together.
	maxClaimIntervals = 40
	// strongShare and mediumShare are the shares of the strongest node's processors from which a node belongs to the first or the second class.
	strongShare = 0.75
	mediumShare = 0.5
)

// class returns the class of a node by its processors, 0 being the strongest class.
func class(cores, strongest float64) int {
	switch {
	case cores >= strongShare*strongest:
		return 0
	case cores >= mediumShare*strongest:
		return 1
	}
	return 2
}

// maxCores returns the processors of the strongest node.
func maxCores(nodes map[string]ledger.Node) float64 {
	most := 0.0
	for _, n := range nodes {
		most = max(most, n.Cores)
	}
	return most
}

// candidate is a node with the properties that determine its rank.
type candidate struct {
	name           string
	node           ledger.Node
	class          int
	dataCentreRank int // number of nodes of its data centre that rank before it
}

// Rank returns how many nodes claim before a node. Nodes of a stronger class come first. Within a class the data centres alternate, so that one
// that is cut off delays the claim by one interval only; within a data centre the most recently started node comes first, because a rolling
// restart reaches it last. The node of the last dispatcher, which is silent, has ended or has released the role, comes last, as do nodes that
// are stopping.
func Rank(nodes map[string]ledger.Node, name string, last ledger.Dispatcher) int {
	all := claimOrder(nodes)
	all = slices.DeleteFunc(all, func(c candidate) bool { return c.name == last.Node || c.node.Stopping })
	i := slices.IndexFunc(all, func(c candidate) bool { return c.name == name })
	if i < 0 {
		return len(all)
	}
	return i
}

// claimOrder returns all nodes in the order in which they claim, including those that don't claim at present.
func claimOrder(nodes map[string]ledger.Node) []candidate {
	most := maxCores(nodes)
	all := make([]candidate, 0, len(nodes))
	for name, n := range nodes {
		all = append(all, candidate{name: name, node: n, class: class(n.Cores, most)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.node.Offset, a.node.Offset), cmp.Compare(a.name, b.name))
	})
	countByDataCentre := map[string]int{}
	for i := range all {
		all[i].dataCentreRank = countByDataCentre[all[i].node.DataCentre]
		countByDataCentre[all[i].node.DataCentre]++
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.dataCentreRank, b.dataCentreRank))
	})
	return all
}

// Role is what a node knows about the dispatcher role.
type Role struct {
	Vacant    bool          // never claimed, released, or the dispatcher's process has ended
	SilentFor time.Duration // time since this node last heard of the dispatcher, or since it has known that the role is vacant
	// StoreLatency is the recent latency of the store. It counts once the silence exceeds SuspicionTimeout.
	StoreLatency time.Duration
}

// Claimable reports whether some node should claim the role.
func (r Role) Claimable() bool {
	if r.Vacant {
		return r.SilentFor >= 0
	}
	timeout := SilenceTimeout
	if r.StoreLatency > promptLatency {
		timeout += latencyFactor * r.StoreLatency
	}
	return r.SilentFor >= timeout
}

// ClaimDelay returns how long the role must have been claimable before the node of a rank claims it. The delay counts from when the node itself saw
// that the role is claimable, so that nodes that see it late, as when a slow store recovers, don't claim together.
func ClaimDelay(rank int) time.Duration {
	return time.Duration(min(rank, maxClaimIntervals)) * ClaimInterval
}

// handoverDelay is how long a weaker dispatcher keeps the role before a stronger node asks for it, so that a day with many changes of the
// dispatcher isn't made worse.
const handoverDelay = 2 * time.Second

// ShouldRequestHandover reports whether a node should ask the dispatcher to hand over the role, because the node is of a stronger class and no
// other has asked. held is how long the dispatcher has had the role.
func ShouldRequestHandover(nodes map[string]ledger.Node, name string, d ledger.Dispatcher, held time.Duration) bool {
	most := maxCores(nodes)
	self, holder := nodes[name], nodes[d.Node]
	if d.Node == name || class(self.Cores, most) >= class(holder.Cores, most) {
		return false
	}
	for _, n := range nodes {
		if n.HandoverEpoch == d.Epoch {
			return false
		}
	}
	return held >= handoverDelay+ClaimDelay(Rank(nodes, name, d))
}

// ShouldHandOver reports whether a dispatcher should hand over the role, because another node has asked for it in its first epoch or a later one.
func ShouldHandOver(nodes map[string]ledger.Node, d ledger.Dispatcher) bool {
	for name, n := range nodes {
		if name != d.Node && n.HandoverEpoch >= d.Epoch && d.Epoch > 0 {
			return true
		}
	}
	return false
}

// ActivePredecessors returns the dispatchers before a new claim that may still give orders: the last one, unless it has released the role, and its
// own predecessors, without those that have retired.
func ActivePredecessors(l *ledger.Ledger) []ledger.Predecessor {
	last := l.Dispatcher
	var active []ledger.Predecessor
	for _, p := range last.Predecessors {
		if !l.Retired(p) {
			active = append(active, p)
		}
	}
	p := ledger.Predecessor{Epoch: last.Epoch, Node: last.Node, Incarnation: last.Incarnation, Start: last.Start}
	if last.Epoch > 0 && !last.Released && !l.Retired(p) {
		active = append(active, p)
	}
	return active
}
