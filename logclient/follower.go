package logclient

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// Defaults of a Follower.
const (
	// DefaultReadWait is how long a read waits for a record at the end of the log. The view of an idle log is then at most about
	// two seconds old, well within the 10 s for which keys are accepted.
	DefaultReadWait = time.Second
	// DefaultReadGrace is how long a read may take in addition to its wait before the log counts as unreadable.
	DefaultReadGrace = time.Second
	// DefaultPageRecords is the maximum number of records in one read.
	DefaultPageRecords = 1000
	// DefaultRecentBytes limits the size of the records kept in memory for peers.
	DefaultRecentBytes = 4 << 20
	// DefaultFallbackInterval is the pause between two fetches from peers while the log cannot be read.
	DefaultFallbackInterval = 250 * time.Millisecond
	// maxRecentAnswerBytes limits the size of the records that one call of Recent returns.
	maxRecentAnswerBytes = 1 << 20
)

var defaultReadBackoff = Backoff{Min: 100 * time.Millisecond, Max: time.Second}

// FetchResult is the result of a fetch from a peer: records, or the complete state if the peer no longer keeps the records.
type FetchResult struct {
	Records []Record
	State   *fleet.State
}

// ReadFallback fetches the records from an offset on through another VM. The result is empty if no other VM has them.
type ReadFallback interface {
	Fetch(ctx context.Context, from uint64, limit int) (FetchResult, error)
}

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Log   Log
	Store *fleet.Store
	// Fallback may be nil.
	Fallback ReadFallback
	// The following default to the constants above.
	Wait             time.Duration
	ReadGrace        time.Duration
	PageRecords      int
	RecentBytes      int
	FallbackInterval time.Duration
	// Backoff is the pause between attempts to read the log, by default 100 ms to 1 s.
	Backoff Backoff
	Count   CountFunc
}

func (o FollowerOptions) withDefaults() FollowerOptions {
	if o.Wait <= 0 {
		o.Wait = DefaultReadWait
	}
	if o.ReadGrace <= 0 {
		o.ReadGrace = DefaultReadGrace
	}
	if o.PageRecords <= 0 {
		o.PageRecords = DefaultPageRecords
	}
	if o.RecentBytes <= 0 {
		o.RecentBytes = DefaultRecentBytes
	}
	if o.FallbackInterval <= 0 {
		o.FallbackInterval = DefaultFallbackInterval
	}
	o.Backoff = o.Backoff.orDefault(defaultReadBackoff)
	o.Count = o.Count.orNothing()
	return o
}

// Follower applies the records of the log to the store. While the log cannot be read it fetches them from peers. The store's offset
// never decreases.
type Follower struct {
	options FollowerOptions
	recent  recentRecords

	mu       sync.Mutex
	readAt   time.Time
	readable bool
	first    uint64

	malformed atomic.Uint64
}

// NewFollower returns a follower that continues at the store's offset.
func NewFollower(o FollowerOptions) *Follower {
	o = o.withDefaults()
	f := &Follower{options: o, recent: recentRecords{maxBytes: o.RecentBytes}}
	f.recent.reset(o.Store.Offset())
	return f
}

// ReadAt returns the start time of the last read that reached the end of the log, or the zero time.
func (f *Follower) ReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt
}

// Readable reports whether the last read of the log succeeded.
func (f *Follower) Readable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readable
}

// FirstOffset returns the first offset that the log kept at the last read, or 0.
func (f *Follower) FirstOffset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.first
}

// MalformedRecords returns the number of records that were ignored because they are not batches.
func (f *Follower) MalformedRecords() uint64 { return f.malformed.Load() }

// Recent returns up to limit records starting at an offset, limited to about 1 MiB in total. It reports false if the
// record at the offset is no longer kept in memory.
func (f *Follower) Recent(from uint64, limit int) ([]Record, bool) {
	return f.recent.from(from, limit, maxRecentAnswerBytes)
}

// Run follows the log until ctx is done. Call it once; nothing else may change the store.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		wait := f.options.Wait
		if failures > 0 {
			wait = 0 // read without waiting, so that peers are tried soon if the log is still unreadable
		}
		if f.readAndApply(ctx, wait) {
			failures = 0
			continue
		}
		failures++
		f.followPeers(ctx, f.options.Backoff.pause(failures))
	}
	return nil
}

// readAndApply reads one page and applies it, or restores a snapshot if the next record has been deleted. It reports false on failure.
func (f *Follower) readAndApply(ctx context.Context, wait time.Duration) bool {
	started := time.Now()
	from := f.options.Store.Offset() + 1
	page, err := f.read(ctx, from, wait)
	if err != nil {
		return false
	}
	if page.First > from {
		return f.restore(ctx, page.First)
	}
	if page.Next < from {
		f.options.Count(EventLogBehind)
		return false
	}
	if !f.applyAll(page.Records) {
		f.options.Count(EventRecordGap)
		return false
	}
	if f.options.Store.Offset()+1 == page.Next {
		f.reachedEnd(started)
	}
	return true
}

// read reads a page and records whether the log is readable.
func (f *Follower) read(ctx context.Context, from uint64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.options.ReadGrace)
	defer cancel()
	page, err := f.options.Log.Read(ctx, from, f.options.PageRecords, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readable = err == nil
	if err != nil {
		f.options.Count(EventReadFailed)
		return Page{}, errkind.Wrap(errkind.LogUnavailable, err)
	}
	f.first = page.First
	return page, nil
}

func (f *Follower) reachedEnd(started time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = started
}

// applyAll applies the records after the state's offset in order, and skips earlier ones. It reports false at a gap.
func (f *Follower) applyAll(records []Record) bool {
	for _, record := range records {
		offset := f.options.Store.Offset()
		if record.Offset <= offset {
			continue
		}
		if record.Offset > offset+1 {
			return false
		}
		f.apply(record)
	}
	return true
}

// apply applies one record. A malformed record is applied as an empty batch, so that the offset advances.
func (f *Follower) apply(record Record) {
	var batch fleet.Batch
	if err := json.Unmarshal(record.Data, &batch); err != nil {
		f.malformed.Add(1)
		f.options.Count(EventRecordMalformed)
		batch = fleet.Batch{}
	}
	f.recent.add(record)
	f.options.Store.Apply(record.Offset, batch)
}

func (f *Follower) install(state *fleet.State) bool {
	if !f.options.Store.Install(state) {
		return false
	}
	f.recent.reset(state.Offset)
	return true
}

// restore reads the log from its first record on until it has installed a snapshot. A snapshot is skipped if the record after its
// offset has been deleted, because the state would then have a gap.
func (f *Follower) restore(ctx context.Context, first uint64) bool {
	var parts fleet.SnapshotAssembler
	for at := first; ctx.Err() == nil; {
		page, err := f.read(ctx, at, 0)
		if err != nil {
			return false
		}
		first = page.First
		for _, record := range page.Records {
			at = record.Offset + 1
			if state := f.snapshotIn(record, &parts); state != nil && state.Offset+1 >= first && f.install(state) {
				f.options.Count(EventRestored)
				return true
			}
		}
		if len(page.Records) == 0 {
			break
		}
	}
	f.options.Count(EventRestoreFailed)
	return false
}

// snapshotIn returns the state of the snapshot that this record completes, or nil.
func (f *Follower) snapshotIn(record Record, parts *fleet.SnapshotAssembler) *fleet.State {
	var batch fleet.Batch
	if json.Unmarshal(record.Data, &batch) != nil {
		return nil
	}
	for _, command := range batch.Commands {
		if command.Snapshot == nil {
			continue
		}
		state, err := parts.Add(command.Snapshot)
		if err != nil {
			f.options.Count(EventRestoreFailed)
			continue
		}
		if state != nil {
			return state
		}
	}
	return nil
}

// followPeers fetches records from peers for the given duration.
func (f *Follower) followPeers(ctx context.Context, pause time.Duration) {
	end := time.Now().Add(pause)
	for ctx.Err() == nil {
		more := f.options.Fallback != nil && f.fetch(ctx)
		rest := time.Until(end)
		if rest <= 0 {
			return
		}
		if !more {
			sleep(ctx, min(rest, f.options.FallbackInterval))
		}
	}
}

// fetch fetches once from the peers. It reports whether the state's offset advanced.
func (f *Follower) fetch(ctx context.Context) bool {
	before := f.options.Store.Offset()
	fetched, err := f.options.Fallback.Fetch(ctx, before+1, f.options.PageRecords)
	if err != nil {
		f.options.Count(EventPeerFailed)
		return false
	}
	if fetched.State != nil && f.install(fetched.State) {
		f.options.Count(EventPeerSnapshot)
	}
	if len(fetched.Records) > 0 {
		f.options.Count(EventPeerRecords)
		f.applyAll(fetched.Records)
	}
	return f.options.Store.Offset() > before
}
