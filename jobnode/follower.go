package jobnode

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/forecast"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

const (
	// ledgerReadWait is how long a read of the ledger waits for a new record.
	ledgerReadWait = 900 * time.Millisecond
	// ledgerReadDelay is the delay between two reads on a node that doesn't dispatch: calls to the store are billed, and callers may see a state
	// that is a second old.
	ledgerReadDelay = 250 * time.Millisecond
	// dispatcherReadDelay is the same on the node that dispatches.
	dispatcherReadDelay = 8 * time.Millisecond
	// suspicionReadDelay is the same while the dispatcher may be gone, so that its successor is known soon.
	suspicionReadDelay = 60 * time.Millisecond
	// latencyRetention is how long a slow answer of the store counts: the appends that have queued up in the meantime take as long as the queue
	// holds them, 2 s.
	latencyRetention = 3 * time.Second
	// maxClaimTimes bounds the epochs whose start is remembered; half a minute sees fewer dispatchers.
	maxClaimTimes = 64
	// maxLedgerAge is the age of the last read up to which the ledger may answer that a job isn't known.
	maxLedgerAge = 2500 * time.Millisecond
	// firstPageKB is the size of the first page after a gap, in KiB: about a tenth of a second's records at the largest load measured.
	firstPageKB = 64
	// maxReadGap is the longest gap between two reads that still counts as silence of the dispatcher.
	maxReadGap = 2 * time.Second
)

// change is a change of the ledger that the dispatcher needs to handle.
type change struct {
	kind ledger.Change
	id   string
}

// follower reads the ledger's topic and keeps the state of all jobs.
type follower struct {
	store *platform.StoreClient
	log   zerolog.Logger
	reads dependencyLog

	mu             sync.Mutex
	ledger         *ledger.Ledger
	latestOffsets  map[string]int64 // offset of the latest record by key, when the state was restored
	completeOffset int64            // offset at which the state is complete
	behind         bool             // the last read didn't reach the end of the log
	synced         bool             // the state is complete
	confirmedAt    time.Duration    // start of the last successful read that reached the end of the log
	storeLatency   time.Duration    // the longest recent read that did not wait for records
	storeLatencyAt time.Duration
	suspicious     bool                     // the dispatcher may be gone: read without waiting
	heardAt        time.Duration            // when a record of the dispatcher was last read
	holder         string                   // incarnation of the node that has the dispatcher role
	holderSeenAt   time.Duration            // when its first claim was read
	claimSeenAt    map[int64]time.Duration  // when the first record of each epoch was read
	history        *forecast.History        // of the submitted jobs
	orderSeenAt    map[string]time.Duration // when the last order for each machine was read
	serverSeenAt   map[string]time.Duration // when the record of each server was last read
	dispatching    bool
	changes        []change      // since the last takeChanges; all kinds are recorded only while this node dispatches
	signal         chan struct{} // wakes the scheduler after a change
}

func newFollower(store *platform.StoreClient, log zerolog.Logger) *follower {
	return &follower{store: store, log: log, reads: dependencyLog{name: "ledger", log: log}, ledger: ledger.New(), claimSeenAt: map[int64]time.Duration{}, history: forecast.New(), orderSeenAt: map[string]time.Duration{}, serverSeenAt: map[string]time.Duration{}, signal: make(chan struct{}, 1)}
}

// Run follows the ledger's topic until ctx ends.
func (f *follower) Run(ctx context.Context) error {
	from := int64(-1)
	for ctx.Err() == nil {
		sent := boottime.Now()
		next, err := f.step(ctx, from, sent)
		f.reads.report(err)
		from = next
		if err != nil {
			sleep(ctx, storeRetryDelay)
			continue
		}
		sleep(ctx, f.readDelay())
	}
	return nil
}

func (f *follower) step(ctx context.Context, from int64, sent time.Duration) (int64, error) {
	if from < 0 {
		records, end, err := f.store.LatestByKey(ctx, platform.TopicJobs)
		if err != nil {
			return -1, err
		}
		f.restore(records)
		return end, nil
	}
	wait := f.readWait()
	page, err := f.store.Read(ctx, platform.TopicJobs, from, wait, f.pageLimit())
	if wait == 0 && err == nil {
		f.recordLatency(boottime.Now() - sent)
	}
	if errors.Is(err, platform.ErrRecordsDeleted) {
		return -1, err
	}
	if err != nil {
		return from, err
	}
	if f.skipsRest(page) {
		return -1, nil
	}
	f.applyPage(page, sent)
	return page.Next, nil
}

// skipsRest reports whether the newest record of each key should be read instead of the rest of the log, which has more records than there are keys. When
// many nodes return at once, reading the log uses up the store's read bandwidth, and the state that all nodes show their callers falls behind. A
// dispatcher reads every record, because it acts on the changes.
func (f *follower) skipsRest(page platform.Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dispatching || !f.synced || page.End == page.Next || page.End-page.Next <= int64(f.ledger.Keys()) {
		return false
	}
	f.synced = false
	return true
}

// readWait returns how long a read may wait for a record: not at all while the state is incomplete or the dispatcher may be gone.
func (f *follower) readWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced || f.suspicious {
		return 0
	}
	return ledgerReadWait
}

// pageLimit returns the size of the next page in KiB. The first page after a gap only shows how far behind this node is.
func (f *follower) pageLimit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.synced && !f.behind && boottime.Now()-f.confirmedAt > maxReadGap {
		return firstPageKB
	}
	return platform.MaxPageKB
}

func (f *follower) recordLatency(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := boottime.Now(); took >= f.storeLatency || now-f.storeLatencyAt > latencyRetention {
		f.storeLatency, f.storeLatencyAt = took, now
	}
}

// restore replaces the state by the latest record of each key. On a dispatcher it applies them to the state instead, so that the change of each job is
// seen once.
func (f *follower) restore(records []platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.ledger
	if !f.dispatching {
		f.ledger = ledger.New()
	}
	f.latestOffsets = make(map[string]int64, len(records))
	for _, r := range records {
		f.latestOffsets[r.Key] = r.Offset
		f.apply(r, previous)
	}
	// These records are read page by page and are no consistent snapshot: the state is complete once the log has been read past the newest of them.
	f.synced = false
	f.completeOffset = 0
	for _, r := range records {
		f.completeOffset = max(f.completeOffset, r.Offset+1)
	}
	events.Log(f.log, events.SnapshotRestored, len(records))
}

// applyPage applies the records of a read. It skips records that were already replaced when the state was restored.
func (f *follower) applyPage(page platform.Page, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range page.Records {
		if newer, ok := f.latestOffsets[r.Key]; ok && newer >= r.Offset {
			continue
		}
		f.apply(r, nil)
	}
	if f.behind = page.Next < page.End; f.behind {
		return // there is more to read, so the state is no more recent than before
	}
	f.synced = f.synced || page.Next >= f.completeOffset
	f.recordRead(sent)
}

// recordRead records a successful read. Time in which the ledger couldn't be read doesn't count as silence of the dispatcher.
func (f *follower) recordRead(sent time.Duration) {
	now := boottime.Now()
	if now-f.confirmedAt > maxReadGap {
		f.heardAt = now
	}
	f.confirmedAt = sent
}

// apply applies a record. Jobs of the state before a restore, if there was one, are in the history of the demand already.
func (f *follower) apply(r platform.Record, previous *ledger.Ledger) {
	kind, id, err := f.ledger.Apply(ledger.Record{Key: r.Key, Value: r.Value}, r.Offset)
	if err != nil {
		events.Log(f.log, events.RecordSkipped, err)
		return
	}
	if kind == ledger.JobAdded && (previous == nil || !previous.Known(id)) {
		s := f.ledger.Jobs[id].Submission
		f.history.Add(s.Service, s.ReceivedMS, time.Now().UnixMilli(), &s.Spec)
	}
	if kind == ledger.MachineOrdered {
		f.orderSeenAt[id] = boottime.Now()
	}
	if kind == ledger.ServerChanged {
		if _, known := f.ledger.Servers[id]; known {
			f.serverSeenAt[id] = boottime.Now()
		} else {
			delete(f.serverSeenAt, id)
		}
	}
	if ledger.IsDispatcherKey(r.Key) {
		f.heardAt = boottime.Now()
		f.recordClaim()
	}
	if kind == ledger.DispatcherChanged || f.dispatching && (kind == ledger.JobAdded || kind == ledger.JobCancelled) {
		f.changes = append(f.changes, change{kind, id})
		select {
		case f.signal <- struct{}{}:
		default:
		}
	}
}

// machineOrderSeenAt returns when the last order for a machine was read. The order was stored earlier.
func (f *follower) machineOrderSeenAt(machine string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orderSeenAt[machine]
}

// recordClaim records when the current dispatcher and its epoch were first read. f.mu must be held.
func (f *follower) recordClaim() {
	if holder := f.ledger.Dispatcher.Incarnation; holder != f.holder {
		f.holder, f.holderSeenAt = holder, boottime.Now()
	}
	epoch := f.ledger.Dispatcher.Epoch
	if _, seen := f.claimSeenAt[epoch]; !seen {
		f.claimSeenAt[epoch] = boottime.Now()
		delete(f.claimSeenAt, epoch-maxClaimTimes)
	}
}

// successorSeenAt returns when an epoch later than the given one was first read. f.mu must be held.
func (f *follower) successorSeenAt(epoch int64) time.Duration {
	at := boottime.Now()
	for later, seen := range f.claimSeenAt {
		if later > epoch {
			at = min(at, seen)
		}
	}
	return at
}

// readDelay returns the delay before the next read.
func (f *follower) readDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.dispatching || f.behind || !f.synced:
		return dispatcherReadDelay
	case f.suspicious:
		return suspicionReadDelay
	}
	return ledgerReadDelay
}

// fresh reports whether the ledger was read recently.
func (f *follower) fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced && boottime.Now()-f.confirmedAt < maxLedgerAge
}

// takeChanges returns the changes since the last call.
func (f *follower) takeChanges() []change {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.changes
	f.changes = nil
	return c
}
