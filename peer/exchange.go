package peer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/logclient"
)

// DefaultHeartbeatInterval is the pause between two heartbeats to a peer. Eight peers at this pace cost about 8 KB a second.
const DefaultHeartbeatInterval = 500 * time.Millisecond

// askablePeriod is how old a peer's last answer may be for it to be asked for records.
const askablePeriod = 5 * time.Second

// ExchangeOptions are the settings of an Exchange.
type ExchangeOptions struct {
	Store *fleet.Store
	// Address is the VM's own peer address, and Seeds are those of peers that are asked although the fold may not know them.
	Address string
	Seeds   []string
	// Status returns the VM's own status.
	Status func() Status
	// Interval defaults to DefaultHeartbeatInterval, Timeout to DefaultTimeout, and Dial to TCP.
	Interval time.Duration
	Timeout  time.Duration
	Dial     DialFunc
	// OnAnswer, if set, is called with each answer. It must not block.
	OnAnswer func(PeerStatus)
	// OnMissed, if set, is called with the address and error of each heartbeat without an answer. It must not block.
	OnMissed func(address string, err error)
}

// PeerStatus is the last answer of a peer.
type PeerStatus struct {
	Status
	Address string
	// AskedAt is when the heartbeat was sent, the latest time for which the answer certainly speaks.
	AskedAt time.Time
}

// Exchange sends heartbeats to the live members of the fold and the seeds, keeps their answers, and fetches records from
// them.
type Exchange struct {
	options ExchangeOptions
	codec   *LoadCodec
	beating sync.WaitGroup

	mu      sync.Mutex
	clients map[string]*Client
	busy    map[string]bool
	last    map[string]PeerStatus // by address
	closed  bool
}

var (
	_ logclient.ReadFallback   = (*Exchange)(nil)
	_ logclient.AppendFallback = (*Exchange)(nil)
)

// NewExchange returns an exchange that has heard nothing.
func NewExchange(o ExchangeOptions) *Exchange {
	if o.Interval <= 0 {
		o.Interval = DefaultHeartbeatInterval
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Exchange{
		options: o,
		codec:   NewLoadCodec(o.Store.Config),
		clients: map[string]*Client{},
		busy:    map[string]bool{},
		last:    map[string]PeerStatus{},
	}
}

// Run sends heartbeats until ctx ends. It then closes all connections.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(e.options.Interval)
	defer ticker.Stop()
	defer e.close()
	for {
		e.beatAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Exchange) close() {
	e.mu.Lock()
	e.closed = true
	for _, client := range e.clients {
		client.Close()
	}
	e.mu.Unlock()
	e.beating.Wait()
}

// targets returns the addresses of the peers, sorted.
func (e *Exchange) targets() []string {
	addresses := slices.Clone(e.options.Seeds)
	e.options.Store.View(func(state *fleet.State) {
		for _, member := range state.Members {
			if !member.Fenced {
				addresses = append(addresses, member.PeerAddress)
			}
		}
	})
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == "" || a == e.options.Address })
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// beatAll sends a heartbeat to each peer that has answered or failed the one before.
func (e *Exchange) beatAll(ctx context.Context) {
	targets := e.targets()
	e.forgetOthers(targets)
	for _, address := range targets {
		if !e.take(address) {
			continue
		}
		e.beating.Go(func() {
			defer e.release(address)
			e.beat(ctx, address)
		})
	}
}

// forgetOthers closes the connections of peers that have left and forgets what they said.
func (e *Exchange) forgetOthers(targets []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, client := range e.clients {
		if _, ok := slices.BinarySearch(targets, address); !ok {
			client.Close()
			delete(e.clients, address)
			delete(e.last, address)
		}
	}
}

func (e *Exchange) take(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[address] || e.closed {
		return false
	}
	e.busy[address] = true
	return true
}

func (e *Exchange) release(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.busy, address)
}

func (e *Exchange) beat(ctx context.Context, address string) {
	client := e.Client(address)
	askedAt := time.Now()
	own := e.options.Status()
	status, err := client.Heartbeat(ctx, own.WithoutLoad())
	if err != nil {
		if e.options.OnMissed != nil {
			e.options.OnMissed(address, err)
		}
		return
	}
	if status.Incarnation == own.Incarnation {
		return // a seed that is another address of this VM
	}
	answer := PeerStatus{Status: status, Address: address, AskedAt: askedAt}
	if e.keep(client, answer) && e.options.OnAnswer != nil {
		e.options.OnAnswer(answer)
	}
}

// keep notes an answer, unless the peer was forgotten meanwhile.
func (e *Exchange) keep(client *Client, answer PeerStatus) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clients[answer.Address] != client {
		return false
	}
	if answer.Load != nil || answer.Outstanding == nil {
		answer.Status = e.withLoad(answer)
	}
	e.last[answer.Address] = answer
	return true
}

// withLoad returns the status with its load, or with the last known one of the same incarnation if it carries none that can be read.
func (e *Exchange) withLoad(answer PeerStatus) Status {
	status, ok := e.codec.Unpack(answer.Status)
	if last := e.last[answer.Address]; !ok && last.Incarnation == status.Incarnation {
		status.Running, status.Waiting, status.Outstanding = last.Running, last.Waiting, last.Outstanding
	}
	return status
}

// Client returns the client of a peer's address. It stays open while the address is that of a live member or a seed.
func (e *Exchange) Client(address string) *Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	client, ok := e.clients[address]
	if !ok {
		client = NewClient(address, e.options.Dial, e.options.Timeout)
		e.clients[address] = client
		if e.closed {
			client.Close()
		}
	}
	return client
}

// Statuses returns the last answer of each peer, sorted by address. An answer may be old: see AskedAt.
func (e *Exchange) Statuses() []PeerStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]PeerStatus, 0, len(e.last))
	for _, status := range e.last {
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b PeerStatus) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// Fetch implements logclient.ReadFallback. It asks the peer with the highest offset first.
func (e *Exchange) Fetch(ctx context.Context, from uint64, limit int) (logclient.FetchResult, error) {
	peers := e.ahead(from)
	var lastErr error
	for _, p := range peers {
		fetched, err := e.fetch(ctx, p.Address, from, limit)
		if err == nil {
			return fetched, nil
		}
		lastErr = err
	}
	if lastErr != nil {
		return logclient.FetchResult{}, errkind.Wrap(errkind.LogUnavailable, lastErr)
	}
	return logclient.FetchResult{}, nil
}

// Append has the peer that read the log last append a record.
func (e *Exchange) Append(ctx context.Context, data []byte) (uint64, error) {
	now := time.Now()
	readers := slices.DeleteFunc(e.Statuses(), func(p PeerStatus) bool { return !p.LogReadable || now.Sub(p.AskedAt) > askablePeriod })
	if len(readers) == 0 {
		return 0, errkind.New(errkind.LogUnavailable, "no peer can reach the platform")
	}
	nearest := slices.MaxFunc(readers, func(a, b PeerStatus) int {
		return a.AskedAt.Add(-a.ReadAge).Compare(b.AskedAt.Add(-b.ReadAge))
	})
	reply, err := e.Client(nearest.Address).Append(ctx, AppendArgs{Data: data})
	return reply.Offset, err
}

// ahead returns the peers that answered lately and have the record at from, highest offset first.
func (e *Exchange) ahead(from uint64) []PeerStatus {
	now := time.Now()
	peers := slices.DeleteFunc(e.Statuses(), func(p PeerStatus) bool {
		return p.Offset < from || now.Sub(p.AskedAt) > askablePeriod
	})
	slices.SortStableFunc(peers, func(a, b PeerStatus) int { return cmp.Compare(b.Offset, a.Offset) })
	return peers
}

// fetch asks one peer for records, or for its state. A state comes over a connection of its own, so that heartbeats don't
// wait behind it.
func (e *Exchange) fetch(ctx context.Context, address string, from uint64, limit int) (logclient.FetchResult, error) {
	reply, err := e.Client(address).Records(ctx, RecordsArgs{From: from, Limit: limit})
	if err != nil {
		return logclient.FetchResult{}, err
	}
	if !reply.NeedSnapshot {
		return logclient.FetchResult{Records: reply.Records}, nil
	}
	bulk := NewClient(address, e.options.Dial, e.options.Timeout)
	defer bulk.Close()
	snapshot, err := bulk.Snapshot(ctx)
	if err != nil {
		return logclient.FetchResult{}, err
	}
	state, err := fleet.DecodeState(snapshot.State)
	if err != nil {
		return logclient.FetchResult{}, err
	}
	return logclient.FetchResult{State: state}, nil
}
