package jobnode

import (
	"context"
	"time"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/relay"
)

const (
	// renewalDelay is the minimum delay between two renewals of a server. Runs that end in between are reported together.
	renewalDelay = 40 * time.Millisecond
	// renewalRetryDelay is the delay after a renewal that failed or was not allowed.
	renewalRetryDelay = 150 * time.Millisecond
	// maxStoredWait bounds the delay of a renewal while the store is slow. Ends are seen this much later then; leases last for several times longer.
	maxStoredWait = 300 * time.Millisecond
)

// startRenewals starts a renewal loop for each server that has none. Relays are chosen first: hundreds of direct calls at the start of a dispatcher
// need as many new connections, and use up the time in which it should take over.
func (d *dispatcher) startRenewals(ctx context.Context) {
	d.chooseRelays()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range d.core.Servers() {
		if d.renewing[id] == nil {
			stored := make(chan struct{}, 1)
			d.renewing[id] = stored
			go d.guard("server "+id, func() { d.renewServer(ctx, id, stored) })
		}
	}
}

// renewServer renews the leases on one server and takes its reports, until the core no longer needs the server. A signal on stored says that ends of
// the server were stored.
func (d *dispatcher) renewServer(ctx context.Context, id string, stored <-chan struct{}) {
	for ctx.Err() == nil {
		r, sent, result := d.nextRenewal(id)
		switch result {
		case renewalRemoved:
			return
		case renewalNotAllowed:
			sleep(ctx, renewalRetryDelay)
		case renewalDue:
			d.renew(ctx, id, r, sent)
			d.awaitStored(ctx, id, stored)
		}
	}
}

// nextResult is the result of dispatcher.nextRenewal.
type nextResult int

const (
	renewalDue        nextResult = iota
	renewalNotAllowed            // orders may not be sent now
	renewalRemoved               // the core no longer needs the server
)

// nextRenewal returns the next renewal of a server, and the time before it is sent. The clock is read once, because reading it is a system call.
func (d *dispatcher) nextRenewal(id string) (dispatch.Renewal, time.Duration, nextResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	if !d.mayOrder(now) {
		return dispatch.Renewal{}, now, renewalNotAllowed
	}
	d.advanceTo(now)
	r, known := d.core.NextRenewal(id)
	if !known {
		delete(d.renewing, id)
		return r, now, renewalRemoved
	}
	return r, now, renewalDue
}

// awaitStored waits until the ends that a server has reported are stored, for maxStoredWait at most. Before they are acknowledged, the server would
// report them again at once instead of waiting for another end.
func (d *dispatcher) awaitStored(ctx context.Context, id string, stored <-chan struct{}) {
	if d.endsStored(id) {
		return
	}
	timeout := time.NewTimer(maxStoredWait)
	defer timeout.Stop()
	for !d.endsStored(id) {
		select {
		case <-stored:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (d *dispatcher) endsStored(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.EndsStored(id)
}

// signalStored wakes the renewal loops of the servers whose ends are in a stored batch. d.mu must be held.
func (d *dispatcher) signalStored(b dispatch.Batch) {
	for id := range b.EndedOn() {
		select {
		case d.renewing[id] <- struct{}{}:
		default: // it has a signal already, or no loop
		}
	}
}

// renew sends a renewal and handles its answer. sent is a time before it is sent.
func (d *dispatcher) renew(ctx context.Context, id string, r dispatch.Renewal, sent time.Duration) {
	report, result := d.servers.Renew(ctx, r.Server, platform.Renewal{LeaseUntil: r.LeaseUntil, Fence: r.Fence, Taken: r.AckCursor, Wait: r.Wait})
	d.update(func(c *dispatch.Core) {
		if result != platform.RenewalUnanswered && result != platform.RenewalFenced && !report.Repeated {
			c.RenewalAnswered(r)
		}
		switch result {
		case platform.Renewed:
			c.ReportReceived(r, sent, report)
		case platform.RenewalWrongInstance:
			c.ServerReplaced(r.Server)
		case platform.RenewalRestarted:
			c.ServerRestarted(r.Server, report.BornMS)
		case platform.RenewalUnanswered, platform.RenewalFenced:
			c.RenewalUnanswered(id, sent, r.Wait+platform.RenewalTimeout+relay.OrderTimeout)
		}
	})
	d.wakeUp()
	if result == platform.Renewed {
		sleep(ctx, renewalDelay)
		return
	}
	if result == platform.RenewalFenced {
		d.tokenRefused(id, r.Fence)
	}
	sleep(ctx, renewalRetryDelay)
}
