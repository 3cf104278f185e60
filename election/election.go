// Package election decides which node asks for the place of the dispatcher, and when. It has no clock and does no I/O. Safety doesn't rest on
// it: the first claim of an epoch in the ledger wins, and the store and the backend servers refuse former epochs.
package election

import (
	"cmp"
	"slices"
	"time"

	"example.org/comfreyrouter/ledger"
)

const (
	// SilenceTimeout is how long the dispatcher must be silent before another node claims its place, if the store answers promptly: two renewals
	// and the pause between two reads of the ledger, with some slack.
	SilenceTimeout = 800 * time.Millisecond
	// SuspicionTimeout is the silence after which a node measures how promptly the store answers: a renewal and the pause between two reads.
	SuspicionTimeout = 600 * time.Millisecond
	// slowFactor is the number of answer times of the store that are added to the silence: an append waits up to 2 s for others, which is
	// six answers on the slowest days.
	slowFactor = 10
	// promptAnswer is an answer time that counts as prompt: the store answers in about 4 ms, and a busy node reads an answer late.
	promptAnswer = 40 * time.Millisecond
	// ClaimInterval is by how much later each next node claims, so that not all claim at the same time. A claim shows to the others after an append
	// and the pause between two reads of the ledger.
	ClaimInterval = 100 * time.Millisecond
	// stepsMost bounds the steps, so that a place isn't vacant for long when the first nodes are cut off together.
	stepsMost = 40
	// strong and middling are shares of the strongest node's processors that put a node into the first and into the second class.
	strong   = 0.75
	middling = 0.5
)

// class returns how strong a node is, 0 being the strongest.
func class(cores, strongest float64) int {
	switch {
	case cores >= strong*strongest:
		return 0
	case cores >= middling*strongest:
		return 1
	}
	return 2
}

func strongest(nodes map[string]ledger.Node) float64 {
	most := 0.0
	for _, n := range nodes {
		most = max(most, n.Cores)
	}
	return most
}

type ranked struct {
	name         string
	node         ledger.Node
	class        int
	inDataCentre int // stronger and younger nodes of its data centre
}

// Rank returns how many nodes claim before a node: stronger ones first, then by turns of the data centres, so that a cut one costs one step,
// and the last started first, because a roll of all nodes comes to those last. The node of the last dispatcher, which is silent, has ended or
// has given its place up, comes last, as do nodes that are stopping.
func Rank(nodes map[string]ledger.Node, name string, last ledger.Dispatcher) int {
	all := order(nodes)
	all = slices.DeleteFunc(all, func(r ranked) bool { return r.name == last.Node || r.node.Stopping })
	i := slices.IndexFunc(all, func(r ranked) bool { return r.name == name })
	if i < 0 {
		return len(all)
	}
	return i
}

func order(nodes map[string]ledger.Node) []ranked {
	most := strongest(nodes)
	all := make([]ranked, 0, len(nodes))
	for name, n := range nodes {
		all = append(all, ranked{name: name, node: n, class: class(n.Cores, most)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.node.Offset, a.node.Offset), cmp.Compare(a.name, b.name))
	})
	count := map[string]int{}
	for i := range all {
		all[i].inDataCentre = count[all[i].node.DataCentre]
		count[all[i].node.DataCentre]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.inDataCentre, b.inDataCentre))
	})
	return all
}

// Role is what a node knows of the dispatcher's place.
type Role struct {
	Vacant    bool          // never taken, given up, or its dispatcher has ended
	SilentFor time.Duration // since when nothing was heard of the dispatcher, or since when the place is known to be vacant
	// StoreLatency is how long the store's answers took lately. It counts once the silence is beyond Suspicion.
	StoreLatency time.Duration
}

// Claimable reports whether some node should claim the place.
func (p Role) Claimable() bool {
	if p.Vacant {
		return p.SilentFor >= 0
	}
	needed := SilenceTimeout
	if p.StoreLatency > promptAnswer {
		needed += slowFactor * p.StoreLatency
	}
	return p.SilentFor >= needed
}

// ClaimDelay returns for how long a place must have been open before a node claims it. It counts from the moment at which the node saw the place open, so
// that nodes that see it late, as when a slow store recovers, don't claim together.
func ClaimDelay(rank int) time.Duration { return time.Duration(min(rank, stepsMost)) * ClaimInterval }

// bidAfter is how long a weaker dispatcher keeps its place before a stronger node asks for it, so that a day of many changes isn't made worse.
const bidAfter = 2 * time.Second

// ShouldRequestHandover reports whether a node should ask the dispatcher to give its place up, because the node is of a stronger class and no other has asked.
func ShouldRequestHandover(nodes map[string]ledger.Node, name string, d ledger.Dispatcher, held time.Duration) bool {
	most := strongest(nodes)
	me, holder := nodes[name], nodes[d.Node]
	if d.Node == name || class(me.Cores, most) >= class(holder.Cores, most) {
		return false
	}
	for _, n := range nodes {
		if n.HandoverEpoch == d.Epoch {
			return false
		}
	}
	return held >= bidAfter+ClaimDelay(Rank(nodes, name, d))
}

// ShouldHandOver reports whether a dispatcher should give its place up for a node that has asked for it.
func ShouldHandOver(nodes map[string]ledger.Node, d ledger.Dispatcher) bool {
	for name, n := range nodes {
		if name != d.Node && n.HandoverEpoch == d.Epoch && d.Epoch > 0 {
			return true
		}
	}
	return false
}

// ActivePredecessors returns the dispatchers before a claim that may still give orders: the last one, unless it has given its place up, and those that
// it knew of, without those that are over.
func ActivePredecessors(l *ledger.Ledger) []ledger.Predecessor {
	last := l.Dispatcher
	var open []ledger.Predecessor
	for _, f := range last.Predecessors {
		if !l.Retired(f) {
			open = append(open, f)
		}
	}
	f := ledger.Predecessor{Epoch: last.Epoch, Node: last.Node, Incarnation: last.Incarnation, Start: last.Start}
	if last.Epoch > 0 && !last.Released && !l.Retired(f) {
		open = append(open, f)
	}
	return open
}
