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
	// DefaultReadWait is how long a read waits at the end of the log. The view of an idle log is then at most about two seconds
	// old, well within the 10 s for which keys are accepted.
	DefaultReadWait = time.Second
	// DefaultReadGrace is how long a read may take beyond its wait before the log counts as not readable.
	DefaultReadGrace = time.Second
	// DefaultPageRecords is the largest number of records that are read at a time.
	DefaultPageRecords = 1000
	// DefaultRecentBytes bounds the records kept for peers.
	DefaultRecentBytes = 4 << 20
	// DefaultFallbackInterval is the pause between two questions to peers while the log cannot be read.
	DefaultFallbackInterval = 250 * time.Millisecond
	// maxRecentAnswerBytes bounds what Recent returns at a time.
	maxRecentAnswerBytes = 1 << 20
)

var defaultReadBackoff = Backoff{Min: 100 * time.Millisecond, Max: time.Second}

// FetchResult is what a peer gave: records, or the whole state if it no longer keeps them.
type FetchResult struct {
	Records []Record
	State   *fleet.State
}

// ReadFallback fetches what follows an offset from another VM. It returns an empty FetchResult if no other VM has more.
type ReadFallback interface {
	Fetch(ctx context.Context, from uint64, limit int) (FetchResult, error)
}

// FollowerOptions are the settings of a Follower.
type FollowerOptions struct {
	Log   Log
	Store *fleet.Store
	// Fallback may be nil.
	Fallback ReadFallback
	// The defaults of the following are the constants above.
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

// Follower feeds the store from the log, or from peers while the log cannot be read. Its offset never goes back.
type Follower struct {
	options FollowerOptions
	recent  recent

	mu       sync.Mutex
	readAt   time.Time
	readable bool
	first    uint64

	malformed atomic.Uint64
}

// NewFollower returns a follower that has read nothing.
func NewFollower(o FollowerOptions) *Follower {
	o = o.withDefaults()
	f := &Follower{options: o, recent: recent{maxBytes: o.RecentBytes}}
	f.recent.jump(o.Store.Offset())
	return f
}

// ReadAt returns the start of the last read that reached the end of the log, or the zero time.
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

// MalformedRecords returns the number of records that were ignored because they are no batches.
func (f *Follower) MalformedRecords() uint64 { return f.malformed.Load() }

// Recent returns up to limit records from an offset on, bounded to about 1 MiB. It reports false if some of them are no longer
// kept in memory.
func (f *Follower) Recent(from uint64, limit int) ([]Record, bool) {
	return f.recent.from(from, limit, maxRecentAnswerBytes)
}

// Run follows the log until ctx ends. Call it once; nothing else may change the store.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		wait := f.options.Wait
		if failures > 0 {
			wait = 0 // a short question, so that peers are asked soon if the log still cannot be read
		}
		if f.follow(ctx, wait) {
			failures = 0
			continue
		}
		failures++
		f.bridge(ctx, f.options.Backoff.pause(failures))
	}
	return nil
}

// follow reads once. It reports false if the log did not help.
func (f *Follower) follow(ctx context.Context, wait time.Duration) bool {
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

// read reads a page and notes whether the log can be read.
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

// applyAll folds records that continue where the state ends, and skips those before. It reports false at a gap.
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

// apply folds one record. A malformed one counts as an empty batch, so that the offset goes on.
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
	f.recent.jump(state.Offset)
	return true
}

// restore reads the log from its first record on until it has a snapshot that continues there. A snapshot whose next record
// was removed leaves a gap and is passed over.
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

// snapshotIn returns the state of a snapshot that is complete with this record, or nil.
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

// bridge follows the peers for the given time.
func (f *Follower) bridge(ctx context.Context, pause time.Duration) {
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

// fetch asks the peers once. It reports whether the state moved.
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
