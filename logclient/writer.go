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
	// DefaultAppendInterval is the shortest time between two appends of a VM: 9 VMs then stay at 360 appends a second, under the
	// several hundred that the platform takes.
	DefaultAppendInterval = 25 * time.Millisecond
	// DefaultAppendTimeout bounds one append. A batch that was folded ends it early.
	DefaultAppendTimeout = 2 * time.Second
	// DefaultBatchCommands and DefaultBatchBytes bound a batch.
	DefaultBatchCommands = 512
	DefaultBatchBytes    = 512 << 10
	// DefaultQueueSubmissions and DefaultQueueBytes bound what waits to be sent.
	DefaultQueueSubmissions = 8192
	DefaultQueueBytes       = 16 << 20
	// MaxSubmissionBytes bounds one submission, which goes into one batch even if that gets larger than a batch should be.
	// The largest is the list of the issued ids that ran, when an entry VM leaves.
	MaxSubmissionBytes = 8 << 20
)

// byPeerPeriod is how long a peer that has appended is asked before the platform.
const byPeerPeriod = 10 * time.Second

var defaultAppendBackoff = Backoff{Min: 50 * time.Millisecond, Max: 2 * time.Second}

// WriterOptions are the settings of a Writer.
type WriterOptions struct {
	Log   Log
	Store *fleet.Store
	// Incarnation is the writer's name in the batches. It must never have been used by another process.
	Incarnation string
	// Fallback is tried after an append that failed. It may be nil.
	Fallback AppendFallback
	// The defaults of the following are the constants above.
	Interval         time.Duration
	AppendTimeout    time.Duration
	BatchCommands    int
	BatchBytes       int
	QueueSubmissions int
	QueueBytes       int
	// Backoff is the pause before an append is repeated, by default 50 ms to 2 s.
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

// AppendFallback appends a record through another VM. As with Log.Append, an error does not tell whether it was appended.
type AppendFallback interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
}

// Writer appends the commands of one incarnation. It has one append in flight and repeats a batch with the same sequence
// number and content until the fold shows it, so that a lost answer cannot lose or repeat a command.
type Writer struct {
	options  WriterOptions
	queue    *submitQueue
	inFlight *inFlight
	seq      uint64    // of the last batch
	last     time.Time // start of the last append
	// byPeerUntil is until when a peer is asked before the platform.
	byPeerUntil time.Time
}

var _ Submitter = (*Writer)(nil)

// NewWriter returns a writer that has written nothing. It registers with the store, so call it before the store is used.
func NewWriter(o WriterOptions) *Writer {
	o = o.withDefaults()
	w := &Writer{
		options:  o,
		queue:    newSubmitQueue(o.QueueSubmissions, o.QueueBytes),
		inFlight: &inFlight{writer: o.Incarnation},
	}
	o.Store.OnApplied(w.inFlight.applied)
	o.Store.OnInstalled(w.inFlight.installed)
	return w
}

// Submit implements Submitter. All its commands go into one batch, and so are folded together. A full queue, or a snapshot
// that hides the results, gives an error of kind log_unavailable.
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

// Run appends what is submitted until ctx ends. Call it once. Submissions that wait when it ends fail.
func (w *Writer) Run(ctx context.Context) error {
	defer w.queue.close()
	for {
		if err := w.queue.wait(ctx); err != nil {
			return nil
		}
		w.pace(ctx)
		if batch := w.queue.take(w.options.BatchCommands, w.options.BatchBytes); len(batch) > 0 {
			w.deliver(ctx, batch)
		}
	}
}

// pace waits until an interval has passed since the start of the last append.
func (w *Writer) pace(ctx context.Context) {
	if rest := w.options.Interval - time.Since(w.last); rest > 0 {
		sleep(ctx, rest)
	}
}

// wireBatch is a fleet.Batch whose commands are encoded already.
type wireBatch struct {
	Writer   string            `json:"writer"`
	Seq      uint64            `json:"seq"`
	Commands []json.RawMessage `json:"commands"`
}

// deliver appends one batch until it is resolved. The content of a sequence number never changes, because the copy that the
// fold takes may be any of those sent.
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
			w.pace(ctx)
		}
		if ctx.Err() != nil || isClosed(resolved) {
			return
		}
		if allAbandoned(batch) {
			w.options.Count(EventBatchAbandoned)
			return
		}
		if w.attempt(ctx, data, resolved) {
			w.awaitFold(ctx, batch, resolved)
			return
		}
	}
}

// attempt appends once. It reports true if the record is known to be in the log.
func (w *Writer) attempt(ctx context.Context, data []byte, resolved <-chan struct{}) bool {
	peerFirst := time.Now().Before(w.byPeerUntil)
	if peerFirst && w.attemptByPeer(ctx, data, resolved) {
		return true
	}
	if w.attemptBy(ctx, w.options.Log, data, resolved) {
		return true
	}
	return !peerFirst && w.attemptByPeer(ctx, data, resolved)
}

// attemptByPeer appends through a peer. While that works the platform is asked only now and then, because each append that it does
// not answer costs its whole timeout.
func (w *Writer) attemptByPeer(ctx context.Context, data []byte, resolved <-chan struct{}) bool {
	if w.options.Fallback == nil || ctx.Err() != nil || !w.attemptBy(ctx, w.options.Fallback, data, resolved) {
		w.byPeerUntil = time.Time{}
		return false
	}
	w.options.Count(EventAppendedByPeer)
	if now := time.Now(); !now.Before(w.byPeerUntil) {
		w.byPeerUntil = now.Add(byPeerPeriod)
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
	w.last = time.Now()
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

// awaitFold waits for a batch that is in the log. It stops if all submitters have left: the next batch comes after this one
// in the log, whenever it is folded.
func (w *Writer) awaitFold(ctx context.Context, batch []*submission, resolved <-chan struct{}) {
	for _, s := range batch {
		select {
		case <-resolved:
			return
		case <-ctx.Done():
			return
		case <-s.left:
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
