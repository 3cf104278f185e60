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
	// followWait is how long a read of the ledger waits for a new record.
	followWait = 900 * time.Millisecond
	// followPause is the pause between two reads of a node that doesn't decide: calls are priced, and callers may see a state that
	// is a second old.
	followPause = 250 * time.Millisecond
	// decidePause is the same for the node that decides.
	decidePause = 8 * time.Millisecond
	// urgentPause is the same while the dispatcher may be gone, so that its successor is known soon.
	urgentPause = 60 * time.Millisecond
	// answerKept is how long a slow answer counts: the appends that have queued up meanwhile take as long as the queue holds, 2 s.
	answerKept = 3 * time.Second
	// claimsKept is the number of epochs of which it is known when they began; more than the dispatchers of half a minute.
	claimsKept = 64
	// freshWithin is how old the last read may be for the ledger to answer that a job isn't known.
	freshWithin = 2500 * time.Millisecond
	// readGap is the longest pause between two reads during which a silent dispatcher counts as silent.
	readGap = 2 * time.Second
)

// change is a change of the ledger that the dispatcher wants to know of.
type change struct {
	kind ledger.Change
	id   string
}

// follower folds the ledger.
type follower struct {
	store *platform.StoreClient
	log   zerolog.Logger
	link  link

	mu         sync.Mutex
	ledger     *ledger.Ledger
	pages      map[string]int64 // offsets of the newest records, until the tail has passed them
	wholeAt    int64            // offset from which on the state is whole
	behind     bool             // the last read didn't reach the end
	synced     bool             // the state is whole
	confirmed  time.Duration    // start of the last read that succeeded
	answer     time.Duration    // longest of the last reads that did not wait for records
	answeredAt time.Duration
	urgent     bool                     // the dispatcher may be gone: read without waiting
	heard      time.Duration            // when the dispatcher was last heard of
	claims     map[int64]time.Duration  // when the first record of an epoch was read
	history    *forecast.History        // of the jobs that were handed in
	ordered    map[string]time.Duration // when the last order for a machine was read
	deciding   bool
	changes    []change // since the dispatcher last asked; kept only while this node decides
	signal     chan struct{}
}

func newFollower(store *platform.StoreClient, log zerolog.Logger) *follower {
	return &follower{store: store, log: log, link: link{name: "ledger", log: log}, ledger: ledger.New(), claims: map[int64]time.Duration{}, history: forecast.New(), ordered: map[string]time.Duration{}, signal: make(chan struct{}, 1)}
}

// Run follows the ledger's topic until ctx ends.
func (f *follower) Run(ctx context.Context) error {
	from := int64(-1)
	for ctx.Err() == nil {
		sent := boottime.Now()
		next, err := f.step(ctx, from, sent)
		f.link.report(err)
		from = next
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		sleep(ctx, f.pause())
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
	wait := f.wait()
	page, err := f.store.Read(ctx, platform.TopicJobs, from, wait)
	if wait == 0 && err == nil {
		f.answered(boottime.Now() - sent)
	}
	if errors.Is(err, platform.ErrRecordsDeleted) {
		return -1, err
	}
	if err != nil {
		return from, err
	}
	f.take(page, sent)
	return page.Next, nil
}

// wait returns how long a read may wait for a record: not at all while the state isn't whole, or while the dispatcher may be gone.
func (f *follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced || f.urgent {
		return 0
	}
	return followWait
}

func (f *follower) answered(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := boottime.Now(); took >= f.answer || now-f.answeredAt > answerKept {
		f.answer, f.answeredAt = took, now
	}
}

// restore folds the newest record of each key.
func (f *follower) restore(records []platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pages = make(map[string]int64, len(records))
	for _, r := range records {
		f.pages[r.Key] = r.Offset
		f.apply(r)
	}
	// The pages are no snapshot: the state is whole once the tail has passed the newest record of them.
	f.synced = false
	f.wholeAt = 0
	for _, r := range records {
		f.wholeAt = max(f.wholeAt, r.Offset+1)
	}
	events.Log(f.log, events.SnapshotRestored, len(records))
}

// take folds the records of a read. Records that a newer one has replaced in the pages are left out.
func (f *follower) take(page platform.Page, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range page.Records {
		if newer, ok := f.pages[r.Key]; ok && newer >= r.Offset {
			continue
		}
		f.apply(r)
	}
	if f.behind = page.Next < page.End; f.behind {
		return // there is more, so the state is as old as it was
	}
	f.synced = f.synced || page.Next >= f.wholeAt
	f.read(sent)
}

// read notes a read that succeeded. Time in which the ledger couldn't be read doesn't count as the dispatcher's silence.
func (f *follower) read(sent time.Duration) {
	now := boottime.Now()
	if now-f.confirmed > readGap {
		f.heard = now
	}
	f.confirmed = sent
}

func (f *follower) apply(r platform.Record) {
	kind, id, err := f.ledger.Apply(ledger.Record{Key: r.Key, Value: r.Value}, r.Offset)
	if err != nil {
		events.Log(f.log, events.RecordSkipped, err)
		return
	}
	if kind == ledger.JobAdded {
		s := f.ledger.Jobs[id].Submission
		f.history.Add(s.Service, s.ReceivedMS, &s.Spec)
	}
	if kind == ledger.MachineOrdered {
		f.ordered[id] = boottime.Now()
	}
	if ledger.IsDispatcherKey(r.Key) {
		f.heard = boottime.Now()
		f.noteClaim()
	}
	if kind == ledger.DispatcherChanged || f.deciding && (kind == ledger.JobAdded || kind == ledger.JobCancelled) {
		f.changes = append(f.changes, change{kind, id})
		select {
		case f.signal <- struct{}{}:
		default:
		}
	}
}

// orderSeen returns when the last order for a machine was read; it was stored before.
func (f *follower) orderSeen(machine string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ordered[machine]
}

// noteClaim notes when the epoch of the dispatcher was first read. The lock must be held.
func (f *follower) noteClaim() {
	epoch := f.ledger.Dispatcher.Epoch
	if _, seen := f.claims[epoch]; !seen {
		f.claims[epoch] = boottime.Now()
		delete(f.claims, epoch-claimsKept)
	}
}

// succeeded returns when a later epoch than the given one was first read. The lock must be held.
func (f *follower) succeeded(epoch int64) time.Duration {
	at := boottime.Now()
	for later, seen := range f.claims {
		if later > epoch {
			at = min(at, seen)
		}
	}
	return at
}

// pause returns the pause before the next read.
func (f *follower) pause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.deciding || f.behind || !f.synced:
		return decidePause
	case f.urgent:
		return urgentPause
	}
	return followPause
}

// fresh reports whether the ledger was read lately.
func (f *follower) fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced && boottime.Now()-f.confirmed < freshWithin
}

// takeChanges returns the changes since the last call.
func (f *follower) takeChanges() []change {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.changes
	f.changes = nil
	return c
}
