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
	// writeRetry is the pause before a refused append is tried again.
	writeRetry = 40 * time.Millisecond
	// writeBudget is how long appends of a record are begun. Callers wait about 3 s for an answer, and an append may take 1.5 s.
	writeBudget = 1200 * time.Millisecond
	// writeBatch bounds the records of one append.
	writeBatch = 200
	// writeQueue bounds the calls that wait for an append.
	writeQueue = 4096
)

// write is a record that a call waits for.
type write struct {
	record ledger.Record
	giveUp time.Duration // no append is begun after this
	result chan error
}

// writer stores the records of calls, those that wait together in one append. The records of calls may be stored twice without harm.
type writer struct {
	store *platform.StoreClient
	// through asks the dispatcher to store records.
	through func(ctx context.Context, records []ledger.Record) PutOutcome
	queue   chan write
	link    link
}

func newWriter(store *platform.StoreClient, through func(ctx context.Context, records []ledger.Record) PutOutcome, log zerolog.Logger) *writer {
	return &writer{store: store, through: through, queue: make(chan write, writeQueue), link: link{name: "appends of calls", log: log}}
}

// Put stores a record. It tries again for a while. The error is platform.ErrNotWritten only if the record has not been stored and never will be.
func (w *writer) Put(ctx context.Context, r ledger.Record) error {
	item := write{r, boottime.Now() + writeBudget, make(chan error, 1)}
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

// Run appends until ctx ends.
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

// collect returns the writes that wait, the first one included.
func (w *writer) collect(first write) []write {
	batch := []write{first}
	for len(batch) < writeBatch {
		select {
		case next := <-w.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// append stores a batch, through the dispatcher if that takes it. It tries again until the last call of the batch gives up.
func (w *writer) append(ctx context.Context, batch []write) {
	outcome := w.through(ctx, ledgerRecords(batch))
	if outcome == PutStored {
		answer(batch, nil)
		return
	}
	unknown := outcome == PutUnknown
	for {
		batch = waiting(batch, unknown)
		if len(batch) == 0 {
			return
		}
		_, err := w.store.Append(ctx, platform.TopicJobs, records(batch), nil)
		w.link.report(err)
		if err == nil {
			answer(batch, nil)
			return
		}
		unknown = unknown || errors.Is(err, platform.ErrUnconfirmed)
		if ctx.Err() != nil {
			answer(batch, platform.ErrUnconfirmed)
			return
		}
		sleep(ctx, writeRetry)
	}
}

// waiting answers the writes whose calls have given up, and returns the others.
func waiting(batch []write, unknown bool) []write {
	var left []write
	for _, item := range batch {
		switch {
		case boottime.Now() < item.giveUp:
			left = append(left, item)
		case unknown:
			item.result <- platform.ErrUnconfirmed
		default:
			item.result <- platform.ErrNotWritten
		}
	}
	return left
}

func ledgerRecords(batch []write) []ledger.Record {
	out := make([]ledger.Record, len(batch))
	for i, item := range batch {
		out[i] = item.record
	}
	return out
}

func records(batch []write) []platform.Record {
	out := make([]platform.Record, len(batch))
	for i, item := range batch {
		out[i] = platform.Record{Key: item.record.Key, Value: item.record.Value}
	}
	return out
}

func answer(batch []write, err error) {
	for _, item := range batch {
		item.result <- err
	}
}
