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

// DefaultHeartbeatInterval is the interval between two heartbeats to a peer. With eight peers the traffic is about 8 KB a second.
const DefaultHeartbeatInterval = 500 * time.Millisecond

// maxAnswerAge is the greatest age of a peer's last answer with which the peer is still used for records and appends.
const maxAnswerAge = 5 * time.Second

// ExchangeOptions configures an Exchange.
type ExchangeOptions struct {
	Store *fleet.Store
	// Address is the VM's own peer address. Seeds are addresses that receive heartbeats even if the fold has no member there.
	Address string
	Seeds   []string
	// Status returns the VM's own status.
	Status func() Status
	// Interval defaults to DefaultHeartbeatInterval, Timeout to DefaultTimeout, and Dial to TCP.
	Interval time.Duration
	Timeout  time.Duration
	Dial     DialFunc
	// OnAnswer, if set, is called with each answer that the exchange stores. It must not block.
	OnAnswer func(PeerStatus)
	// OnMissed, if set, is called with the peer's address and the error of each failed heartbeat. It must not block.
	OnMissed func(address string, err error)
}

// PeerStatus is a peer's answer to a heartbeat.
type PeerStatus struct {
	Status
	Address string
	// AskedAt is the time at which the heartbeat was sent: the status is at least as recent as that.
	AskedAt time.Time
}

// Exchange sends heartbeats to the members of the fold that are not fenced and to the seeds, keeps their latest answers, and
// reads and appends log records through them.
type Exchange struct {
	options    ExchangeOptions
	codec      *LoadCodec
	heartbeats sync.WaitGroup

	mu       sync.Mutex
	clients  map[string]*Client
	inFlight map[string]bool
	answers  map[string]PeerStatus // by address
	closed   bool
}

var (
	_ logclient.ReadFallback   = (*Exchange)(nil)
	_ logclient.AppendFallback = (*Exchange)(nil)
)

// NewExchange returns an exchange without any answers.
func NewExchange(o ExchangeOptions) *Exchange {
	if o.Interval <= 0 {
		o.Interval = DefaultHeartbeatInterval
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Exchange{
		options:  o,
		codec:    NewLoadCodec(o.Store.Config),
		clients:  map[string]*Client{},
		inFlight: map[string]bool{},
		answers:  map[string]PeerStatus{},
	}
}

// Run sends heartbeats until ctx is done. It then closes all connections.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(e.options.Interval)
	defer ticker.Stop()
	defer e.close()
	for {
		e.sendHeartbeats(ctx)
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
	e.heartbeats.Wait()
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

// sendHeartbeats sends a heartbeat to each peer to which none is in flight.
func (e *Exchange) sendHeartbeats(ctx context.Context) {
	targets := e.targets()
	e.removeDeparted(targets)
	for _, address := range targets {
		if !e.beginHeartbeat(address) {
			continue
		}
		e.heartbeats.Go(func() {
			defer e.endHeartbeat(address)
			e.sendHeartbeat(ctx, address)
		})
	}
}

// removeDeparted closes the connections of peers that are no longer targets and discards their answers.
func (e *Exchange) removeDeparted(targets []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, client := range e.clients {
		if _, ok := slices.BinarySearch(targets, address); !ok {
			client.Close()
			delete(e.clients, address)
			delete(e.answers, address)
		}
	}
}

func (e *Exchange) beginHeartbeat(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight[address] || e.closed {
		return false
	}
	e.inFlight[address] = true
	return true
}

func (e *Exchange) endHeartbeat(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight, address)
}

func (e *Exchange) sendHeartbeat(ctx context.Context, address string) {
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
		return // the seed is another address of this VM
	}
	answer := PeerStatus{Status: status, Address: address, AskedAt: askedAt}
	if e.storeAnswer(client, answer) && e.options.OnAnswer != nil {
		e.options.OnAnswer(answer)
	}
}

// storeAnswer stores an answer. It reports false if the peer was removed while the heartbeat was in flight.
func (e *Exchange) storeAnswer(client *Client, answer PeerStatus) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clients[answer.Address] != client {
		return false
	}
	if answer.Load != nil || answer.Outstanding == nil {
		answer.Status = e.withLoad(answer)
	}
	e.answers[answer.Address] = answer
	return true
}

// withLoad returns the status with its load decoded. If it carries no load that can be decoded, the last known load of the same
// incarnation is used.
func (e *Exchange) withLoad(answer PeerStatus) Status {
	status, ok := e.codec.Unpack(answer.Status)
	if last := e.answers[answer.Address]; !ok && last.Incarnation == status.Incarnation {
		status.Running, status.Waiting, status.Outstanding = last.Running, last.Waiting, last.Outstanding
	}
	return status
}

// Client returns the client for a peer's address. It stays open while the address belongs to a member that is not fenced or to a seed.
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

// Statuses returns the latest answer of each peer, sorted by address. Answers are kept regardless of their age: see AskedAt.
func (e *Exchange) Statuses() []PeerStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]PeerStatus, 0, len(e.answers))
	for _, status := range e.answers {
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b PeerStatus) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// Fetch implements logclient.ReadFallback. It tries the peers in descending order of offset.
func (e *Exchange) Fetch(ctx context.Context, from uint64, limit int) (logclient.FetchResult, error) {
	candidates := e.peersWithRecord(from)
	var lastErr error
	for _, p := range candidates {
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

// Append implements logclient.AppendFallback. It uses the peer with the most recent read of the log.
func (e *Exchange) Append(ctx context.Context, data []byte) (uint64, error) {
	now := time.Now()
	readers := slices.DeleteFunc(e.Statuses(), func(p PeerStatus) bool { return !p.LogReadable || now.Sub(p.AskedAt) > maxAnswerAge })
	if len(readers) == 0 {
		return 0, errkind.New(errkind.LogUnavailable, "no peer can reach the platform")
	}
	freshest := slices.MaxFunc(readers, func(a, b PeerStatus) int {
		return a.AskedAt.Add(-a.ReadAge).Compare(b.AskedAt.Add(-b.ReadAge))
	})
	reply, err := e.Client(freshest.Address).Append(ctx, AppendArgs{Data: data})
	return reply.Offset, err
}

// peersWithRecord returns the peers that answered within maxAnswerAge and have the record at offset from, highest offset first.
func (e *Exchange) peersWithRecord(from uint64) []PeerStatus {
	now := time.Now()
	peers := slices.DeleteFunc(e.Statuses(), func(p PeerStatus) bool {
		return p.Offset < from || now.Sub(p.AskedAt) > maxAnswerAge
	})
	slices.SortStableFunc(peers, func(a, b PeerStatus) int { return cmp.Compare(b.Offset, a.Offset) })
	return peers
}

// fetch requests records from one peer, or its state if it no longer keeps them. The state is transferred over a separate
// connection, so that it doesn't delay heartbeats.
func (e *Exchange) fetch(ctx context.Context, address string, from uint64, limit int) (logclient.FetchResult, error) {
	reply, err := e.Client(address).Records(ctx, RecordsArgs{From: from, Limit: limit})
	if err != nil {
		return logclient.FetchResult{}, err
	}
	if !reply.NeedSnapshot {
		return logclient.FetchResult{Records: reply.Records}, nil
	}
	snapshotClient := NewClient(address, e.options.Dial, e.options.Timeout)
	defer snapshotClient.Close()
	snapshot, err := snapshotClient.Snapshot(ctx)
	if err != nil {
		return logclient.FetchResult{}, err
	}
	state, err := fleet.DecodeState(snapshot.State)
	if err != nil {
		return logclient.FetchResult{}, err
	}
	return logclient.FetchResult{State: state}, nil
}
