package jobnode

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/election"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

const (
	// tenure is how long a dispatcher that can't renew counts as the only one: less than election.SilenceTimeout, which others count from a later
	// moment.
	tenure = 650 * time.Millisecond
	// renewEvery is the pause between renewals.
	renewEvery = 250 * time.Millisecond
	// graceOfOrders is how long a dispatcher whose tenure is over goes on renewing leases and starting jobs that it knows. A successor
	// waits as long for servers that it can't reach, so that work goes on while the store is away.
	graceOfOrders = 7850 * time.Millisecond
	electPause    = 50 * time.Millisecond
	// claimRetry is the pause after a claim that failed: the store's queue of appends is full, and one more makes it worse.
	claimRetry = 500 * time.Millisecond
	// awaitClaim bounds the wait until the ledger shows who has won an epoch.
	awaitClaim   = 2 * time.Second
	producerName = "dispatcher"
)

// elector claims the place of the dispatcher when it is vacant, and runs the dispatcher while this node has it.
type elector struct {
	node, life string
	store      *platform.StoreClient
	follower   *follower
	operators  *operators
	presence   *presence
	log        zerolog.Logger
	able       time.Duration // since when this node could be the dispatcher
	open       time.Duration // since when the place is open to claims; 0 if it isn't
	lost       int64         // epoch in which this node was the dispatcher last
	claimed    time.Duration // when the last claim was sent
	// run decides until the place is lost or ctx ends. The tenure counts from claimed.
	run func(ctx context.Context, d ledger.Dispatcher, claimed time.Duration)
}

// Run watches the dispatcher until ctx ends.
func (e *elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, electPause)
		d, claim := e.look()
		switch {
		case d.Incarnation == e.life && d.Epoch == e.lost:
			// The place was lost to a claim that hasn't shown in the ledger yet, or the sequence of its appends is broken.
			if claim {
				e.claim(ctx)
			}
		case d.Incarnation == e.life && !d.Released && d.Epoch > 0:
			e.lead(ctx, d)
			e.lost = d.Epoch
			e.presence.ended(d.Epoch)
		case claim:
			e.claim(ctx)
		}
	}
	return nil
}

// look returns the last dispatcher, and whether to claim its place now. It asks a weaker dispatcher to give way.
func (e *elector) look() (ledger.Dispatcher, bool) {
	configured := e.operators.view().config != nil
	f := e.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.ledger
	d := l.Dispatcher
	now := boottime.Now()
	if !configured || !f.synced || l.Nodes[e.node].Incarnation != e.life || now-f.confirmed > readGap {
		e.able, e.open = now, 0
		return d, false
	}
	former := ledger.Predecessor{Epoch: d.Epoch, Node: d.Node, Incarnation: d.Incarnation, Start: d.Start}
	place := election.Role{
		Vacant:       d.Epoch == 0 || d.Released || l.Retired(former) && d.Epoch != e.lost,
		SilentFor:    f.confirmed - max(f.heard, e.able),
		StoreLatency: f.answer,
	}
	f.urgent = place.Vacant || now-f.heard > election.SuspicionTimeout
	if !f.urgent && election.ShouldRequestHandover(l.Nodes, e.node, d, now-f.claims[d.Epoch]) {
		e.presence.bid(d.Epoch)
	}
	if !place.Claimable() {
		e.open = 0
		return d, false
	}
	if e.open == 0 {
		e.open = now
	}
	return d, now-e.open >= election.ClaimDelay(election.Rank(l.Nodes, e.node, d))
}

// claim appends a claim. Whether it was the first one of its epoch shows in the ledger.
func (e *elector) claim(ctx context.Context) {
	f := e.follower
	f.mu.Lock()
	d := ledger.Dispatcher{
		Epoch: f.ledger.Dispatcher.Epoch + 1, Node: e.node, Incarnation: e.life, Start: f.ledger.Nodes[e.node].Start, Predecessors: election.ActivePredecessors(f.ledger),
	}
	f.mu.Unlock()
	r := ledger.DispatcherRecord(d)
	e.claimed = boottime.Now()
	_, err := e.store.Append(ctx, platform.TopicJobs, []platform.Record{{Key: r.Key, Value: r.Value}},
		&platform.Producer{Name: producerName, Epoch: d.Epoch, Sequence: 1})
	events.Log(e.log, events.DispatcherClaimed, d.Epoch, errText(err))
	e.open = 0
	if err != nil {
		sleep(ctx, claimRetry)
		return
	}
	e.awaitOwn(ctx, d.Epoch)
}

// awaitOwn waits until the ledger shows who has won an epoch.
func (e *elector) awaitOwn(ctx context.Context, epoch int64) {
	deadline := boottime.Now() + awaitClaim
	for ctx.Err() == nil && boottime.Now() < deadline {
		e.follower.mu.Lock()
		seen := e.follower.ledger.Dispatcher.Epoch >= epoch
		e.follower.mu.Unlock()
		if seen {
			return
		}
		sleep(ctx, 5*time.Millisecond)
	}
}

func (e *elector) lead(ctx context.Context, d ledger.Dispatcher) {
	e.follower.setDeciding(true)
	e.run(ctx, d, e.claimed)
	e.follower.setDeciding(false)
}

func (f *follower) setDeciding(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deciding = on
	f.changes = nil
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
