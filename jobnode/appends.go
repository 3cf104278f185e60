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

// putPause is the pause between two appends while other nodes wait for them.
const putPause = 15 * time.Millisecond

// marks returns the records that new jobs may have been started, if these start soon, so that they needn't wait for an append of their own. A job
// that is known has progress, which they must not replace; all progress is stored by this goroutine.
func (d *dispatcher) marks(records []ledger.Record) []ledger.Record {
	var marks []ledger.Record
	for _, r := range records {
		id, ok := ledger.SubmittedJob(r.Key)
		if !ok {
			continue
		}
		d.mu.Lock()
		soon := d.core.StartsSoon(id)
		d.mu.Unlock()
		if soon && !d.follower.known(id) {
			marks = append(marks, ledger.ProgressRecord(id, ledger.Progress{MayHaveStarted: true}))
		}
	}
	return marks
}

// put is records that another node waits for.
type put struct {
	records []ledger.Record
	done    chan PutOutcome
}

// putFor stores records of a node with the next append, if the last appends succeeded.
func (d *dispatcher) putFor(records []ledger.Record) PutOutcome {
	p := put{records, make(chan PutOutcome, 1)}
	d.mu.Lock()
	if d.putsClosed || boottime.Now()-d.renewed >= tenure {
		d.mu.Unlock()
		return PutRejected
	}
	d.puts = append(d.puts, p)
	d.mu.Unlock()
	select {
	case outcome := <-p.done:
		return outcome
	case <-time.After(putWithin):
		return PutUnknown
	}
}

// putBytes bounds the records of nodes that one append carries; the store takes 2 MB at once.
const putBytes = 1 << 20

// takePuts returns the records that nodes wait for, as many as one append takes.
func (d *dispatcher) takePuts() []put {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, size := 0, 0
	for ; n < len(d.puts); n++ {
		if size += bytesOf(d.puts[n].records); size > putBytes && n > 0 {
			break
		}
	}
	puts := d.puts[:n:n]
	d.puts = d.puts[n:]
	return puts
}

func bytesOf(records []ledger.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// closePuts says that nothing more is stored for other nodes.
func (d *dispatcher) closePuts() {
	d.mu.Lock()
	d.putsClosed = true
	puts := d.puts
	d.puts = nil
	d.mu.Unlock()
	answerPuts(puts, PutRejected)
}

func answerPuts(puts []put, outcome PutOutcome) {
	for _, p := range puts {
		p.done <- outcome
	}
}

// storeBatches stores what was decided, in order, with the records that other nodes wait for, and renews the place.
func (d *dispatcher) storeBatches(ctx context.Context) {
	defer d.closePuts()
	var last time.Duration
	for ctx.Err() == nil {
		batch, puts := d.nextBatch()
		due := boottime.Now()-last >= renewEvery
		if due {
			batch.Records = append(batch.Records, ledger.DispatcherRecord(d.present()))
			last = boottime.Now()
		}
		if len(batch.Records) > 0 && !d.append(ctx, batch.Records) {
			answerPuts(puts, PutUnknown)
			return
		}
		answerPuts(puts, PutStored)
		d.stored(batch)
		if len(puts) > 0 {
			sleep(ctx, putPause)
		} else {
			sleep(ctx, storePause)
		}
	}
}

// nextBatch returns what was decided since the last batch, with the records that other nodes wait for.
func (d *dispatcher) nextBatch() (dispatch.Batch, []put) {
	puts := d.takePuts()
	d.mu.Lock()
	batch := d.core.TakeBatch()
	d.mu.Unlock()
	for _, p := range puts {
		batch.Records = append(append(batch.Records, p.records...), d.marks(p.records)...)
	}
	return batch, puts
}

func (d *dispatcher) stored(b dispatch.Batch) {
	d.mu.Lock()
	startable := d.core.BatchStored(b)
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
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrOutOfSequence):
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
	before := time.Now().Add(-d.node.settings.Bounds.FinishedRetention).UnixMilli()
	d.follower.mu.Lock()
	records := d.follower.ledger.ExpiredJobRecords(before, forgetBatch)
	records = append(records, d.follower.ledger.AbsentNodeRecords(time.Now().Add(-absentAfter).UnixMilli())...)
	d.follower.mu.Unlock()
	d.update(func(c *dispatch.Core) {
		for _, r := range records {
			c.QueueRecord(r)
		}
	})
}
