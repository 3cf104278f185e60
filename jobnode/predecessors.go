package jobnode

import (
	"slices"
	"time"

	"example.org/comfreyrouter/election"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/ledger"
)

// formers are the dispatchers before this one that may still give orders.
type formers struct {
	open  []ledger.Predecessor
	ended time.Duration // by when all others gave no more orders
}

// newFormers takes the dispatchers that were not over when this one's claim was sent; the others had ended by then.
func newFormers(open []ledger.Predecessor, claimed time.Duration) formers {
	return formers{open: slices.Clone(open), ended: claimed}
}

// until returns until when a former dispatcher may give orders. One that hasn't said that it stopped does so when its grace after the claim
// of its successor is over. The follower's lock must be held.
func (f *formers) until(follower *follower) time.Duration {
	f.open = slices.DeleteFunc(f.open, func(former ledger.Predecessor) bool {
		over := follower.ledger.Retired(former)
		if over {
			f.ended = max(f.ended, boottime.Now())
		}
		return over
	})
	at := f.ended
	for _, former := range f.open {
		at = max(at, follower.succeeded(former.Epoch)+tenure+graceOfOrders)
	}
	return at
}

// watchOthers returns until when former dispatchers may give orders, and gives the place up if a stronger node asks for it.
func (d *dispatcher) watchOthers() time.Duration {
	d.follower.mu.Lock()
	defer d.follower.mu.Unlock()
	if election.ShouldHandOver(d.follower.ledger.Nodes, d.place) {
		events.Log(d.log, events.DispatcherHandedOver, d.place.Epoch)
		d.cancel()
	}
	return d.formers.until(d.follower)
}

// present returns the record of the place, with the former dispatchers that aren't over yet.
func (d *dispatcher) present() ledger.Dispatcher {
	d.follower.mu.Lock()
	defer d.follower.mu.Unlock()
	place := d.place
	place.Predecessors = slices.Clone(d.formers.open)
	return place
}
