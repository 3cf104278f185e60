package jobnode

import (
	"slices"
	"time"

	"example.org/comfreyrouter/election"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/ledger"
)

// predecessors tracks the earlier dispatchers that may still send orders.
type predecessors struct {
	active    []ledger.Predecessor
	stoppedAt time.Duration // by when all other predecessors had stopped sending orders
}

// newPredecessors returns the predecessors that had not retired when this dispatcher's claim was sent; the others had stopped by then.
func newPredecessors(active []ledger.Predecessor, claimedAt time.Duration) predecessors {
	return predecessors{active: slices.Clone(active), stoppedAt: claimedAt}
}

// ordersUntil returns until when a predecessor may send orders. One that hasn't reported its end stops when its order grace after the claim of its
// successor is over. The follower's lock must be held.
func (p *predecessors) ordersUntil(follower *follower) time.Duration {
	p.active = slices.DeleteFunc(p.active, func(predecessor ledger.Predecessor) bool {
		retired := follower.ledger.Retired(predecessor)
		if retired {
			p.stoppedAt = max(p.stoppedAt, boottime.Now())
		}
		return retired
	})
	at := p.stoppedAt
	for _, predecessor := range p.active {
		at = max(at, follower.successorSeenAt(predecessor.Epoch)+roleLease+orderGrace)
	}
	return at
}

// watchOtherNodes returns until when predecessors may send orders, and hands over the role if a stronger node asks for it.
func (d *dispatcher) watchOtherNodes() time.Duration {
	d.follower.mu.Lock()
	defer d.follower.mu.Unlock()
	if election.ShouldHandOver(d.follower.ledger.Nodes, d.role) {
		events.Log(d.log, events.DispatcherHandedOver, d.role.Epoch)
		d.cancel()
	}
	return d.predecessors.ordersUntil(d.follower)
}

// roleRecord returns the record of the role in an epoch, with the predecessors that haven't retired.
func (d *dispatcher) roleRecord(epoch int64) ledger.Dispatcher {
	d.follower.mu.Lock()
	defer d.follower.mu.Unlock()
	role := d.role
	role.Epoch = epoch
	role.Predecessors = slices.Clone(d.predecessors.active)
	return role
}
