package logclient

import (
	"context"
	"encoding/json"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// Defaults of a Writer.
const (
	// DefaultAppendInterval is the minimum interval between two appends of a VM. 9 VMs then make at most 360 appends a second,
	// which is below the several hundred that the platform accepts.
	DefaultAppendInterval = 25 * time.Millisecond
	// DefaultAppendTimeout limits one append. The append ends early if the fold has applied the batch.
	DefaultAppendTimeout = 2 * time.Second
	// DefaultBatchCommands and DefaultBatchBytes limit a batch.
	DefaultBatchCommands = 512
	DefaultBatchBytes    = 512 << 10
	// DefaultQueueSubmissions and DefaultQueueBytes limit the queue of submissions that have not been sent.
	DefaultQueueSubmissions = 8192
	DefaultQueueBytes       = 16 << 20
	// MaxSubmissionBytes limits one submission. A submission is never split, even if it exceeds the limit of a batch. The
	// largest one is the list of issued ids that have run, which an entry VM submits when it leaves.
	MaxSubmissionBytes = 8 << 20
)

// peerFirstPeriod is how long appends are sent to peers before the platform after a peer has made one.
const peerFirstPeriod = 10 * time.Second

var defaultAppendBackoff = Backoff{Min: 50 * time.Millisecond, Max: 2 * time.Second}

// WriterOptions configures a Writer.
type WriterOptions struct {
	Log   Log
	Store *fleet.Store
	// Incarnation identifies the writer in its batches. It must never have been used by another process.
	Incarnation string
	// Fallback is tried after a failed append. It may be nil.
	Fallback AppendFallback
	// The following default to the constants above.
	Interval         time.Duration
	AppendTimeout    time.Duration
	BatchCommands    int
	BatchBytes       int
	QueueSubmissions int
	QueueBytes       int
	// Backoff is the pause before an append is retried, by default 50 ms to 2 s.
	Backoff Backoff
	Count   CountFunc
}

func (o WriterOptions) withDefaults() WriterOptions {
	if o.Interval <= 0 {
		o.Interval = DefaultAppendInterval
	}
	if o.AppendTimeout <= 0 {
		o.AppendTimeout = DefaultAppendTimeout
	}
	if o.BatchCommands <= 0 {
		o.BatchCommands = DefaultBatchCommands
	}
	if o.BatchBytes <= 0 {
		o.BatchBytes = DefaultBatchBytes
	}
	if o.QueueSubmissions <= 0 {
		o.QueueSubmissions = DefaultQueueSubmissions
	}
	if o.QueueBytes <= 0 {
		o.QueueBytes = DefaultQueueBytes
	}
	o.Backoff = o.Backoff.orDefault(defaultAppendBackoff)
	o.Count = o.Count.orNothing()
	return o
}

// AppendFallback appends a record through another VM. As with Log.Append, an error leaves unknown whether it was appended.
type AppendFallback interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
}

// Writer appends the commands of one incarnation. It has one batch in flight and retries it with the same sequence number and
// content until the append is confirmed or the fold has applied it, so that a lost answer cannot lose or repeat a command.
type Writer struct {
	options      WriterOptions
	queue        *submitQueue
	inFlight     *inFlightBatch
	seq          uint64    // of the last batch
	lastAppendAt time.Time // start of the last append
	// peerFirstUntil is the time until which appends are sent to peers before the platform.
	peerFirstUntil time.Time
}

var _ Submitter = (*Writer)(nil)

// NewWriter returns a writer. It registers callbacks with the store, so call it before the store is used.
func NewWriter(o WriterOptions) *Writer {
	o = o.withDefaults()
	w := &Writer{
		options:  o,
		queue:    newSubmitQueue(o.QueueSubmissions, o.QueueBytes),
		inFlight: &inFlightBatch{writer: o.Incarnation},
	}
	o.Store.OnApplied(w.inFlight.applied)
	o.Store.OnInstalled(w.inFlight.installed)
	return w
}

// Submit implements Submitter. All its commands are in one batch and therefore applied together. It returns an error of kind
// log_unavailable if the queue is full or if a snapshot is installed past the batch, so that its results are unknown.
func (w *Writer) Submit(ctx context.Context, commands ...fleet.Command) ([]fleet.Result, error) {
	if len(commands) == 0 {
		return nil, nil
	}
	s, err := newSubmission(commands)
	if err != nil {
		return nil, err
	}
	if err := w.queue.put(s); err != nil {
		w.options.Count(EventQueueFull)
		return nil, err
	}
	select {
	case <-s.done:
		return s.results, s.err
	case <-ctx.Done():
	}
	if s.abandon() {
		return nil, errkind.New(errkind.LogUnavailable, "the log did not confirm the commands: %w", context.Cause(ctx))
	}
	<-s.done
	return s.results, s.err
}

// Run appends the submissions until ctx is done. Call it once. Submissions that are still queued when it returns fail.
func (w *Writer) Run(ctx context.Context) error {
	defer w.queue.close()
	for {
		if err := w.queue.wait(ctx); err != nil {
			return nil
		}
		w.waitInterval(ctx)
		if batch := w.queue.take(w.options.BatchCommands, w.options.BatchBytes); len(batch) > 0 {
			w.deliver(ctx, batch)
		}
	}
}

// waitInterval waits until Interval has elapsed since the start of the last append.
func (w *Writer) waitInterval(ctx context.Context) {
	if rest := w.options.Interval - time.Since(w.lastAppendAt); rest > 0 {
		sleep(ctx, rest)
	}
}

// wireBatch is a fleet.Batch with commands that are already encoded.
type wireBatch struct {
	Writer   string            `json:"writer"`
	Seq      uint64            `json:"seq"`
	Commands []json.RawMessage `json:"commands"`
}

// deliver retries the append of one batch until it is resolved, confirmed or abandoned. All copies of a sequence number have the
// same content, because the fold may apply any of the copies sent.
func (w *Writer) deliver(ctx context.Context, batch []*submission) {
	w.seq++
	wire := wireBatch{Writer: w.options.Incarnation, Seq: w.seq}
	for _, s := range batch {
		wire.Commands = append(wire.Commands, s.encoded...)
	}
	data, err := json.Marshal(wire)
	if err != nil {
		resolveAll(batch, errkind.Wrap(errkind.Internal, err))
		return
	}
	resolved := w.inFlight.start(w.seq, batch)
	defer w.inFlight.stop(errkind.New(errkind.LogUnavailable, "the writer stopped before the log confirmed the commands"))
	for failures := 0; ; failures++ {
		if failures > 0 {
			w.pause(ctx, resolved, w.options.Backoff.pause(failures))
			w.waitInterval(ctx)
		}
		if ctx.Err() != nil || isClosed(resolved) {
			return
		}
		if allAbandoned(batch) {
			w.options.Count(EventBatchAbandoned)
			return
		}
		if w.attempt(ctx, data, resolved) {
			w.awaitApplied(ctx, batch, resolved)
			return
		}
	}
}

// attempt tries once to append, through the platform and the fallback. It reports true if the record is known to be in the log.
func (w *Writer) attempt(ctx context.Context, data []byte, resolved <-chan struct{}) bool {
	peerFirst := time.Now().Before(w.peerFirstUntil)
	if peerFirst && w.attemptByPeer(ctx, data, resolved) {
		return true
	}
	if w.attemptBy(ctx, w.options.Log, data, resolved) {
		return true
	}
	return !peerFirst && w.attemptByPeer(ctx, data, resolved)
}

// attemptByPeer appends through a peer. While that succeeds, the platform is tried only once in peerFirstPeriod, because each append
// that it doesn't answer takes the full timeout.
func (w *Writer) attemptByPeer(ctx context.Context, data []byte, resolved <-chan struct{}) bool {
	if w.options.Fallback == nil || ctx.Err() != nil || !w.attemptBy(ctx, w.options.Fallback, data, resolved) {
		w.peerFirstUntil = time.Time{}
		return false
	}
	w.options.Count(EventAppendedByPeer)
	if now := time.Now(); !now.Before(w.peerFirstUntil) {
		w.peerFirstUntil = now.Add(peerFirstPeriod)
	}
	return true
}

func (w *Writer) attemptBy(ctx context.Context, log AppendFallback, data []byte, resolved <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, w.options.AppendTimeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-resolved:
			cancel()
		case <-stop:
		}
	}()
	w.lastAppendAt = time.Now()
	_, err := log.Append(ctx, data)
	switch {
	case err == nil:
		w.options.Count(EventAppended)
		return true
	case isClosed(resolved):
		w.options.Count(EventAppendUnneeded)
		return true
	}
	w.options.Count(EventAppendFailed)
	return false
}

// awaitApplied waits until the fold has applied a batch that is in the log. It returns early if all submitters have abandoned it:
// the next batch follows this one in the log, whenever this one is applied.
func (w *Writer) awaitApplied(ctx context.Context, batch []*submission, resolved <-chan struct{}) {
	for _, s := range batch {
		select {
		case <-resolved:
			return
		case <-ctx.Done():
			return
		case <-s.abandoned:
		}
	}
}

func (w *Writer) pause(ctx context.Context, resolved <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-resolved:
	case <-ctx.Done():
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
