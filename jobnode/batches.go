package jobnode

import (
	"context"
	"errors"
	"time"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

// storeBatches stores what was decided, in order, and renews the place.
func (d *dispatcher) storeBatches(ctx context.Context) {
	var last time.Duration
	for ctx.Err() == nil {
		d.mu.Lock()
		batch := d.core.TakeBatch()
		d.mu.Unlock()
		due := boottime.Now()-last >= renewEvery
		if len(batch.Records) == 0 && !due {
			d.stored(batch)
			sleep(ctx, storePause)
			continue
		}
		if due {
			batch.Records = append(batch.Records, ledger.DispatcherRecord(d.present()))
			last = boottime.Now()
		}
		if !d.append(ctx, batch.Records) {
			return
		}
		d.stored(batch)
		sleep(ctx, storePause)
	}
}

func (d *dispatcher) stored(b dispatch.Batch) {
	d.mu.Lock()
	startable := d.core.Stored(b)
	d.mu.Unlock()
	if startable {
		d.wakeUp()
	}
}

// append stores records with the next sequence number, and tries again until the store has answered.
func (d *dispatcher) append(ctx context.Context, records []ledger.Record) bool {
	out := make([]platform.Record, len(records))
	for i, r := range records {
		out[i] = platform.Record{Key: r.Key, Value: r.Value}
	}
	d.sequence++
	for ctx.Err() == nil {
		sent := boottime.Now()
		_, err := d.store.Append(ctx, platform.TopicJobs, out, &platform.Producer{Name: producerName, Epoch: d.place.Epoch, Sequence: d.sequence})
		switch {
		case err == nil:
			d.appends.report(nil)
			d.mu.Lock()
			d.renewed = sent
			d.mu.Unlock()
			return true
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrSequence):
			events.Log(d.log, events.DispatcherFenced, d.place.Epoch, errText(err))
			d.fenced.Store(true)
			d.cancel()
			return false
		}
		d.appends.report(err)
		sleep(ctx, writeRetry)
	}
	return false
}

// release stores what was decided last and gives the place up, so that another node can take it at once.
func (d *dispatcher) release() {
	if d.fenced.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	d.mu.Lock()
	batch := d.core.TakeBatch()
	d.mu.Unlock()
	place := d.present()
	place.Released = true
	d.append(ctx, append(batch.Records, ledger.DispatcherRecord(place)))
}

// forgetBatch bounds the jobs that are forgotten at once, so that a long ledger doesn't make one large append.
const forgetBatch = 200

// forgetOld drops jobs that ended so long ago that nobody asks for them, and nodes that have left the fleet.
func (d *dispatcher) forgetOld() {
	before := time.Now().Add(-d.node.settings.Bounds.KeepFinished).UnixMilli()
	d.follower.mu.Lock()
	records := d.follower.ledger.Outdated(before, forgetBatch)
	records = append(records, d.follower.ledger.Absent(time.Now().Add(-absentAfter).UnixMilli())...)
	d.follower.mu.Unlock()
	d.update(func(c *dispatch.Core) {
		for _, r := range records {
			c.Store(r)
		}
	})
}
