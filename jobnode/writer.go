package jobnode

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

const (
	// appendRetryDelay is the delay before a failed append is retried.
	appendRetryDelay = 40 * time.Millisecond
	// appendRetryTimeout is how long new attempts to append a record are made. Callers wait about 3 s for an answer, and an append may take 1.5 s.
	appendRetryTimeout = 1200 * time.Millisecond
	// maxWriteBatch bounds the records of one append.
	maxWriteBatch = 200
	// writeQueueSize bounds the calls that wait for an append.
	writeQueueSize = 4096
)

// pendingWrite is a record whose storing a call waits for.
type pendingWrite struct {
	record   ledger.Record
	deadline time.Duration // no append is started after this
	result   chan error
}

// writer stores the records of calls; records that wait at the same time share one append. Storing the record of a call twice does no harm.
type writer struct {
	store *platform.StoreClient
	// storeViaDispatcher asks the dispatcher to store records.
	storeViaDispatcher func(ctx context.Context, records []ledger.Record) PutOutcome
	queue              chan pendingWrite
	appends            dependencyLog
}

func newWriter(store *platform.StoreClient, storeViaDispatcher func(ctx context.Context, records []ledger.Record) PutOutcome, log zerolog.Logger) *writer {
	return &writer{store: store, storeViaDispatcher: storeViaDispatcher, queue: make(chan pendingWrite, writeQueueSize), appends: dependencyLog{name: "appends of calls", log: log}}
}

// Put stores a record and retries for a while. The error is platform.ErrNotWritten only if the record has not been stored and never will be.
func (w *writer) Put(ctx context.Context, r ledger.Record) error {
	item := pendingWrite{r, boottime.Now() + appendRetryTimeout, make(chan error, 1)}
	select {
	case w.queue <- item:
	default:
		return platform.ErrNotWritten
	}
	select {
	case err := <-item.result:
		return err
	case <-ctx.Done():
		return platform.ErrUnconfirmed
	}
}

// Run appends pending records until ctx ends.
func (w *writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-w.queue:
			w.append(ctx, w.collect(first))
		}
	}
}

// collect returns the pending writes, including the first one.
func (w *writer) collect(first pendingWrite) []pendingWrite {
	batch := []pendingWrite{first}
	for len(batch) < maxWriteBatch {
		select {
		case next := <-w.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// append stores a batch, through the dispatcher if it accepts the records. It retries until the deadline of the last write has passed.
func (w *writer) append(ctx context.Context, batch []pendingWrite) {
	outcome := w.storeViaDispatcher(ctx, ledgerRecords(batch))
	if outcome == PutStored {
		answerWrites(batch, nil)
		return
	}
	unconfirmed := outcome == PutUnconfirmed
	for {
		batch = expireWrites(batch, unconfirmed)
		if len(batch) == 0 {
			return
		}
		_, err := w.store.Append(ctx, platform.TopicJobs, platformRecords(batch), nil)
		w.appends.report(err)
		if err == nil {
			answerWrites(batch, nil)
			return
		}
		unconfirmed = unconfirmed || errors.Is(err, platform.ErrUnconfirmed)
		if ctx.Err() != nil {
			answerWrites(batch, platform.ErrUnconfirmed)
			return
		}
		sleep(ctx, appendRetryDelay)
	}
}

// expireWrites answers the writes whose deadline has passed, and returns the others.
func expireWrites(batch []pendingWrite, unconfirmed bool) []pendingWrite {
	var left []pendingWrite
	for _, item := range batch {
		switch {
		case boottime.Now() < item.deadline:
			left = append(left, item)
		case unconfirmed:
			item.result <- platform.ErrUnconfirmed
		default:
			item.result <- platform.ErrNotWritten
		}
	}
	return left
}

func ledgerRecords(batch []pendingWrite) []ledger.Record {
	out := make([]ledger.Record, len(batch))
	for i, item := range batch {
		out[i] = item.record
	}
	return out
}

func platformRecords(batch []pendingWrite) []platform.Record {
	out := make([]platform.Record, len(batch))
	for i, item := range batch {
		out[i] = platform.Record{Key: item.record.Key, Value: item.record.Value}
	}
	return out
}

func answerWrites(batch []pendingWrite, err error) {
	for _, item := range batch {
		item.result <- err
	}
}
