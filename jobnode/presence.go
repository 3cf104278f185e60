package jobnode

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

const (
	// presenceInterval is the interval of a node's records. Each is one append, and a node that misses several of them counts as absent.
	presenceInterval = 20 * time.Second
	// absenceTimeout is the age of the last record at which a node counts as having left the fleet; clocks differ by a few seconds.
	absenceTimeout = 2 * time.Minute
	// presencePollDelay is the delay between two checks whether there is a record to store.
	presencePollDelay = 20 * time.Millisecond
)

// presence stores the record of this node: that its process has started, how many processors it has, and the newest epoch in which it has stopped
// dispatching.
type presence struct {
	name     string
	follower *follower
	put      func(ctx context.Context, r ledger.Record) error
	log      zerolog.Logger

	mu      sync.Mutex
	own     ledger.Node
	changed bool // own has changed since due last returned it
}

// newPresence returns the presence of a process. It appends directly to the store, so that calls don't wait for it.
func newPresence(s Settings, incarnation string, f *follower, store *platform.StoreClient, log zerolog.Logger) *presence {
	address := ""
	if s.PeerAddress.IsValid() {
		address = s.PeerAddress.String()
	}
	put := func(ctx context.Context, r ledger.Record) error {
		_, err := store.Append(ctx, platform.TopicJobs, []platform.Record{{Key: r.Key, Value: r.Value}}, nil)
		return err
	}
	return &presence{
		name: s.Name, follower: f, put: put, log: log, own: ledger.Node{Cores: s.Cores, DataCentre: s.DataCentre, Address: address, Incarnation: incarnation}, changed: true,
	}
}

// markEnded records that this node sends no more orders in an epoch.
func (p *presence) markEnded(epoch int64) {
	p.update(func(n *ledger.Node) { n.EndedEpoch = max(n.EndedEpoch, epoch) })
}

// requestHandover asks the dispatcher of an epoch to hand over its role.
func (p *presence) requestHandover(epoch int64) {
	p.update(func(n *ledger.Node) { n.HandoverEpoch = max(n.HandoverEpoch, epoch) })
}

func (p *presence) update(f func(n *ledger.Node)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.own
	f(&p.own)
	p.changed = p.changed || p.own != before
}

// announceStop stores that this process has been asked to stop, so that other nodes don't wait for its claim.
func (p *presence) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	p.mu.Lock()
	p.own.Stopping = true
	r := ledger.NodeRecord(p.name, p.own)
	started := p.own.Start > 0
	p.mu.Unlock()
	if !started {
		return // no other node knows of this process
	}
	if err := p.put(ctx, r); err != nil {
		events.Log(p.log, events.DependencyLost, "record of this node", err)
	}
}

// Run stores the record at the start, when it changes, and at intervals.
func (p *presence) Run(ctx context.Context) error {
	var last time.Time
	for ; ctx.Err() == nil; sleep(ctx, presencePollDelay) {
		r, due := p.due(time.Now(), last)
		if !due {
			continue
		}
		if err := p.put(ctx, r); err != nil {
			p.update(func(n *ledger.Node) { n.AtMS = 0 }) // store again at the next check; the follower logs that the store can't be reached
			sleep(ctx, storeRetryDelay)
			continue
		}
		last = time.Now()
	}
	return nil
}

// due returns the record to store, and whether one has to be stored now. The start number follows the one in the ledger, so the first record waits
// until the ledger has been read.
func (p *presence) due(now, last time.Time) (ledger.Record, bool) {
	f := p.follower
	f.mu.Lock()
	known, synced := f.ledger.Nodes[p.name], f.synced
	f.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !synced || !p.changed && now.Sub(last) < presenceInterval && (known.Incarnation == p.own.Incarnation || now.Sub(last) < time.Second) {
		return ledger.Record{}, false
	}
	if known.Incarnation != p.own.Incarnation {
		p.own.Start = max(p.own.Start, known.Start+1)
	}
	p.own.AtMS = now.UnixMilli()
	p.changed = false
	return ledger.NodeRecord(p.name, p.own), true
}
