package logclient

import (
	"context"
	"encoding/json"
	"sync"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// submission is one call of Submit. It ends exactly once: either the writer resolves it, or its caller abandons it.
type submission struct {
	encoded []json.RawMessage
	bytes   int

	mu        sync.Mutex
	ended     bool
	results   []fleet.Result
	err       error
	done      chan struct{} // closed when resolved
	abandoned chan struct{} // closed when the caller has stopped waiting
}

func newSubmission(commands []fleet.Command) (*submission, error) {
	s := &submission{done: make(chan struct{}), abandoned: make(chan struct{})}
	for _, c := range commands {
		data, err := json.Marshal(c)
		if err != nil {
			return nil, errkind.Wrap(errkind.BadRequest, err)
		}
		s.encoded = append(s.encoded, data)
		s.bytes += len(data)
	}
	if s.bytes > MaxSubmissionBytes {
		return nil, errkind.New(errkind.BadRequest, "the commands have %d bytes, above the limit of %d", s.bytes, MaxSubmissionBytes)
	}
	return s, nil
}

func (s *submission) resolve(results []fleet.Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.results = results
	s.err = err
	close(s.done)
}

// abandon ends the submission for its caller. It reports false if the submission was already resolved.
func (s *submission) abandon() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.ended = true
	close(s.abandoned)
	return true
}

func resolveAll(batch []*submission, err error) {
	for _, s := range batch {
		s.resolve(nil, err)
	}
}

func allAbandoned(batch []*submission) bool {
	for _, s := range batch {
		if !isClosed(s.abandoned) {
			return false
		}
	}
	return true
}

// submitQueue is the bounded FIFO queue of submissions that have not been sent.
type submitQueue struct {
	maxCount int
	maxBytes int

	mu        sync.Mutex
	items     []*submission
	bytes     int
	closed    bool
	available chan struct{} // holds a token if there may be items
}

func newSubmitQueue(maxCount, maxBytes int) *submitQueue {
	return &submitQueue{maxCount: maxCount, maxBytes: maxBytes, available: make(chan struct{}, 1)}
}

func (q *submitQueue) put(s *submission) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return errkind.New(errkind.LogUnavailable, "the writer has stopped")
	}
	if len(q.items) > 0 && (len(q.items) >= q.maxCount || q.bytes+s.bytes > q.maxBytes) {
		return errkind.New(errkind.LogUnavailable, "%d submissions wait for the log already", len(q.items))
	}
	q.items = append(q.items, s)
	q.bytes += s.bytes
	q.signal()
	return nil
}

func (q *submitQueue) signal() {
	select {
	case q.available <- struct{}{}:
	default:
	}
}

// wait blocks until there may be submissions to take.
func (q *submitQueue) wait(ctx context.Context) error {
	select {
	case <-q.available:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// take removes and returns the submissions of the next batch. It discards abandoned submissions, which were never sent.
func (q *submitQueue) take(maxCommands, maxBytes int) []*submission {
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch []*submission
	commands, bytes := 0, 0
	for len(q.items) > 0 {
		s := q.items[0]
		live := !isClosed(s.abandoned)
		full := commands+len(s.encoded) > maxCommands || bytes+s.bytes > maxBytes
		if live && full && len(batch) > 0 {
			break
		}
		q.items[0] = nil
		q.items = q.items[1:]
		q.bytes -= s.bytes
		if !live {
			continue
		}
		batch = append(batch, s)
		commands += len(s.encoded)
		bytes += s.bytes
	}
	if len(q.items) > 0 {
		q.signal()
	}
	return batch
}

func (q *submitQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	resolveAll(q.items, errkind.New(errkind.LogUnavailable, "the writer stopped before the commands were sent"))
	q.items = nil
}

// inFlightBatch is the batch that is being appended. The store's callbacks resolve it.
type inFlightBatch struct {
	writer string

	mu       sync.Mutex
	seq      uint64
	batch    []*submission
	resolved chan struct{}
}

func (f *inFlightBatch) start(seq uint64, batch []*submission) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq = seq
	f.batch = batch
	f.resolved = make(chan struct{})
	return f.resolved
}

// applied resolves each submission of the batch with its part of the results.
func (f *inFlightBatch) applied(a fleet.Applied) {
	if a.Batch.Writer != f.writer || a.Results == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.batch == nil || a.Batch.Seq != f.seq {
		return
	}
	results := a.Results
	for _, s := range f.batch {
		count := len(s.encoded)
		s.resolve(results[:count:count], nil)
		results = results[count:]
	}
	f.finish()
}

// installed fails the batch if a snapshot includes it: its results are then never seen.
func (f *inFlightBatch) installed(state *fleet.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.batch == nil || state.LastSeq(f.writer) < f.seq {
		return
	}
	resolveAll(f.batch, errkind.New(errkind.LogUnavailable, "the results of the commands are unknown: a snapshot was installed past them"))
	f.finish()
}

// stop fails the batch unless it was resolved. The batch may still take effect later.
func (f *inFlightBatch) stop(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.batch == nil {
		return
	}
	resolveAll(f.batch, err)
	f.finish()
}

func (f *inFlightBatch) finish() {
	f.batch = nil
	close(f.resolved)
}
