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
	// roleLease is how long a dispatcher that can't renew its role is certainly the only one. It is shorter than election.SilenceTimeout, which
	// other nodes count from a later moment.
	roleLease = 650 * time.Millisecond
	// roleRenewInterval is the interval at which the dispatcher renews its role.
	roleRenewInterval = 250 * time.Millisecond
	// orderGrace is how long a dispatcher whose role lease has expired keeps renewing run leases and starting jobs that it knows. A successor waits
	// equally long for servers that it can't reach, so that work continues during an outage of the store.
	orderGrace = 7850 * time.Millisecond
	// electionDelay is the delay between two evaluations of the dispatcher role.
	electionDelay = 50 * time.Millisecond
	// claimRetryDelay is the delay after a failed claim: the store's append queue is full, and another append makes it worse.
	claimRetryDelay = 500 * time.Millisecond
	// claimConfirmTimeout bounds the wait until the ledger shows which node has won an epoch.
	claimConfirmTimeout = 2 * time.Second
	producerName        = "dispatcher"
	// claimSequence is the number of a claim among the appends in its epoch.
	claimSequence = 1
)

// elector claims the dispatcher role when it is vacant, and runs the dispatcher while this node holds the role.
type elector struct {
	node, incarnation string
	store             *platform.StoreClient
	follower          *follower
	operators         *operatorFollower
	presence          *presence
	log               zerolog.Logger
	eligibleSince     time.Duration // when this node became able to dispatch
	claimableSince    time.Duration // when the role became claimable; 0 if it isn't
	lostEpoch         int64         // the last epoch in which this node was the dispatcher, or may have been
	claimedAt         time.Duration // when the last claim was sent
	// run dispatches until the role is lost or ctx ends, and returns the newest epoch that it may have claimed. The role lease counts from claimedAt.
	run func(ctx context.Context, d ledger.Dispatcher, claimedAt time.Duration) int64
}

// Run watches the dispatcher until ctx ends.
func (e *elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, electionDelay)
		d, claim := e.evaluate()
		switch {
		case e.isLost(d):
			// The role was lost to a claim that hasn't shown in the ledger yet, or the sequence of this node's appends is broken.
			if claim {
				e.claim(ctx)
			}
		case d.Incarnation == e.incarnation && !d.Released && d.Epoch > 0:
			e.lostEpoch = e.dispatch(ctx, d)
			e.presence.markEnded(e.lostEpoch)
		case claim:
			e.claim(ctx)
		}
	}
	return nil
}

// isLost reports whether this node has held a role and lost it.
func (e *elector) isLost(d ledger.Dispatcher) bool {
	return d.Incarnation == e.incarnation && d.Epoch <= e.lostEpoch
}

// evaluate returns the last dispatcher, and whether to claim its role now. It asks a weaker dispatcher to hand over the role.
func (e *elector) evaluate() (ledger.Dispatcher, bool) {
	configured := e.operators.view().config != nil
	f := e.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.ledger
	d := l.Dispatcher
	now := boottime.Now()
	if !configured || !f.synced || l.Nodes[e.node].Incarnation != e.incarnation || now-f.confirmedAt > maxReadGap {
		e.eligibleSince, e.claimableSince = now, 0
		return d, false
	}
	holder := ledger.Predecessor{Epoch: d.Epoch, Node: d.Node, Incarnation: d.Incarnation, Start: d.Start}
	role := election.Role{
		Vacant:       d.Epoch == 0 || d.Released || l.Retired(holder) && !e.isLost(d),
		SilentFor:    f.confirmedAt - max(f.heardAt, e.eligibleSince),
		StoreLatency: f.storeLatency,
	}
	f.suspicious = role.Vacant || now-f.heardAt > election.SuspicionTimeout
	if !f.suspicious && election.ShouldRequestHandover(l.Nodes, e.node, d, now-f.holderSeenAt) {
		e.presence.requestHandover(d.Epoch)
	}
	if !role.Claimable() {
		e.claimableSince = 0
		return d, false
	}
	if e.claimableSince == 0 {
		e.claimableSince = now
	}
	return d, now-e.claimableSince >= election.ClaimDelay(election.Rank(l.Nodes, e.node, d))
}

// claim appends a claim. The ledger then shows whether it was the first one of its epoch.
func (e *elector) claim(ctx context.Context) {
	f := e.follower
	f.mu.Lock()
	d := ledger.Dispatcher{
		Epoch: f.ledger.Dispatcher.Epoch + 1, Node: e.node, Incarnation: e.incarnation, Start: f.ledger.Nodes[e.node].Start, Predecessors: election.ActivePredecessors(f.ledger),
	}
	f.mu.Unlock()
	r := ledger.DispatcherRecord(d)
	e.claimedAt = boottime.Now()
	_, err := e.store.Append(ctx, platform.TopicJobs, []platform.Record{{Key: r.Key, Value: r.Value}},
		&platform.Producer{Name: producerName, Epoch: d.Epoch, Sequence: claimSequence})
	events.Log(e.log, events.DispatcherClaimed, d.Epoch, errText(err))
	e.claimableSince = 0
	if err != nil {
		sleep(ctx, claimRetryDelay)
		return
	}
	e.awaitEpoch(ctx, d.Epoch)
}

// awaitEpoch waits until the ledger shows which node has won an epoch.
func (e *elector) awaitEpoch(ctx context.Context, epoch int64) {
	deadline := boottime.Now() + claimConfirmTimeout
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

func (e *elector) dispatch(ctx context.Context, d ledger.Dispatcher) int64 {
	e.follower.setDispatching(true)
	defer e.follower.setDispatching(false)
	return e.run(ctx, d, e.claimedAt)
}

func (f *follower) setDispatching(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatching = on
	f.changes = nil
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
