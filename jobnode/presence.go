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
	// presentEvery is the pause between two records of a node; each is one append, and nodes that have left are forgotten after some of them.
	presentEvery = 20 * time.Second
	// absentAfter is the age of the last record after which a node counts as having left the fleet; clocks differ by a few seconds.
	absentAfter = 2 * time.Minute
	// presentPause is the pause between two looks at whether there is something to say.
	presentPause = 20 * time.Millisecond
)

// presence stores what this node says of itself: that its process has started, how strong it is, and which of its terms as the dispatcher
// are over.
type presence struct {
	name     string
	follower *follower
	put      func(ctx context.Context, r ledger.Record) error
	log      zerolog.Logger

	mu      sync.Mutex
	own     ledger.Node
	changed bool
}

// newPresence returns the presence of a process. It appends by itself, so that calls don't wait for it.
func newPresence(s Settings, life string, f *follower, store *platform.StoreClient, log zerolog.Logger) *presence {
	address := ""
	if s.PeerAddress.IsValid() {
		address = s.PeerAddress.String()
	}
	put := func(ctx context.Context, r ledger.Record) error {
		_, err := store.Append(ctx, platform.TopicJobs, []platform.Record{{Key: r.Key, Value: r.Value}}, nil)
		return err
	}
	return &presence{
		name: s.Name, follower: f, put: put, log: log, own: ledger.Node{Cores: s.Cores, DataCentre: s.DataCentre, Address: address, Incarnation: life}, changed: true,
	}
}

// ended notes that this node gives no more orders in an epoch.
func (p *presence) ended(epoch int64) {
	p.change(func(n *ledger.Node) { n.EndedEpoch = max(n.EndedEpoch, epoch) })
}

// bid asks the dispatcher of an epoch to give its place up.
func (p *presence) bid(epoch int64) {
	p.change(func(n *ledger.Node) { n.HandoverEpoch = max(n.HandoverEpoch, epoch) })
}

func (p *presence) change(f func(n *ledger.Node)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.own
	f(&p.own)
	p.changed = p.changed || p.own != before
}

// stopping stores that this process has been asked to stop, so that others don't wait for its claim.
func (p *presence) stopping() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	p.mu.Lock()
	p.own.Stopping = true
	r := ledger.NodeRecord(p.name, p.own)
	started := p.own.Start > 0
	p.mu.Unlock()
	if !started {
		return // nobody knows of this process
	}
	if err := p.put(ctx, r); err != nil {
		events.Log(p.log, events.DependencyLost, "record of this node", err)
	}
}

// Run stores the record at the start, when it changes, and from time to time.
func (p *presence) Run(ctx context.Context) error {
	var last time.Time
	for ; ctx.Err() == nil; sleep(ctx, presentPause) {
		r, due := p.due(time.Now(), last)
		if !due {
			continue
		}
		if err := p.put(ctx, r); err != nil {
			p.change(func(n *ledger.Node) { n.AtMS = 0 }) // again at the next look; the follower reports a store that can't be reached
			sleep(ctx, retryPause)
			continue
		}
		last = time.Now()
	}
	return nil
}

// due returns the record to store, if there is one to store now. The number of the start follows the one in the ledger, so the first record
// waits for that.
func (p *presence) due(now, last time.Time) (ledger.Record, bool) {
	f := p.follower
	f.mu.Lock()
	known, synced := f.ledger.Nodes[p.name], f.synced
	f.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !synced || !p.changed && now.Sub(last) < presentEvery && (known.Incarnation == p.own.Incarnation || now.Sub(last) < time.Second) {
		return ledger.Record{}, false
	}
	if known.Incarnation != p.own.Incarnation {
		p.own.Start = max(p.own.Start, known.Start+1)
	}
	p.own.AtMS = now.UnixMilli()
	p.changed = false
	return ledger.NodeRecord(p.name, p.own), true
}
