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

// putAppendDelay is the delay between two appends while other nodes wait for their records.
const putAppendDelay = 15 * time.Millisecond

// startMarks returns records that mark new jobs as possibly started, for jobs that are about to start, so that their start needn't wait for another
// append. A job that is already known has progress that a mark must not replace. Only this goroutine stores progress.
func (d *dispatcher) startMarks(records []ledger.Record) []ledger.Record {
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

// pendingPut holds records whose storing another node waits for.
type pendingPut struct {
	records []ledger.Record
	done    chan PutOutcome
}

// storeForNode stores another node's records with the next append, provided that recent appends succeeded.
func (d *dispatcher) storeForNode(records []ledger.Record) PutOutcome {
	p := pendingPut{records, make(chan PutOutcome, 1)}
	d.mu.Lock()
	if d.putsClosed || boottime.Now()-d.renewedAt >= roleLease {
		d.mu.Unlock()
		return PutRejected
	}
	d.puts = append(d.puts, p)
	d.mu.Unlock()
	select {
	case outcome := <-p.done:
		return outcome
	case <-time.After(putTimeout):
		return PutUnconfirmed
	}
}

// maxPutBytes bounds the records of other nodes in one append; the store accepts 2 MB at once.
const maxPutBytes = 1 << 20

// takePuts removes and returns pending records of other nodes, as many as fit into one append.
func (d *dispatcher) takePuts() []pendingPut {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, size := 0, 0
	for ; n < len(d.puts); n++ {
		if size += recordBytes(d.puts[n].records); size > maxPutBytes && n > 0 {
			break
		}
	}
	puts := d.puts[:n:n]
	d.puts = d.puts[n:]
	return puts
}

func recordBytes(records []ledger.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// closePuts rejects all pending and future records of other nodes.
func (d *dispatcher) closePuts() {
	d.mu.Lock()
	d.putsClosed = true
	puts := d.puts
	d.puts = nil
	d.mu.Unlock()
	answerPuts(puts, PutRejected)
}

func answerPuts(puts []pendingPut, outcome PutOutcome) {
	for _, p := range puts {
		p.done <- outcome
	}
}

// appendLoop stores the core's decisions in order, together with pending records of other nodes, and renews the dispatcher role.
func (d *dispatcher) appendLoop(ctx context.Context) {
	defer d.closePuts()
	var last time.Duration
	for ctx.Err() == nil {
		batch, puts, fromNodes := d.nextBatch()
		due := boottime.Now()-last >= roleRenewInterval
		if due || batch.Epoch > 0 {
			d.claimed = max(d.claimed, batch.Epoch)
			batch.Records = append(batch.Records, ledger.DispatcherRecord(d.roleRecord(d.claimed)))
			last = boottime.Now()
		}
		if len(batch.Records) > 0 && !d.append(ctx, batch.Records) {
			answerPuts(puts, PutUnconfirmed)
			return
		}
		d.beginEpoch(batch.Epoch)
		d.applyStored(fromNodes)
		answerPuts(puts, PutStored)
		d.batchStored(batch)
		if len(puts) > 0 {
			sleep(ctx, putAppendDelay)
		} else {
			sleep(ctx, appendDelay)
		}
	}
}

// beginEpoch uses a higher epoch, which the last append has claimed, for the appends from now on. They begin after the claim of another node for the same
// epoch, which the store may have accepted since, and which the ledger ignores.
func (d *dispatcher) beginEpoch(epoch int64) {
	if epoch > d.epoch {
		d.epoch, d.sequence = epoch, claimSequence
		events.Log(d.log, events.EpochRaised, epoch)
	}
}

// nextBatch returns the decisions since the last batch, together with pending records of other nodes, which are also returned separately.
func (d *dispatcher) nextBatch() (batch dispatch.Batch, puts []pendingPut, fromNodes []ledger.Record) {
	puts = d.takePuts()
	d.mu.Lock()
	batch = d.core.TakeBatch()
	d.mu.Unlock()
	for _, p := range puts {
		fromNodes = append(append(fromNodes, p.records...), d.startMarks(p.records)...)
	}
	batch.Records = append(batch.Records, fromNodes...)
	return batch, puts, fromNodes
}

// applyStored takes over jobs and cancellations that this dispatcher has just stored for other nodes. It would otherwise learn of them when it reads
// the ledger, which takes seconds while many nodes catch up and share the store's read bandwidth. Jobs that the ledger already has are left to the
// follower.
func (d *dispatcher) applyStored(records []ledger.Record) {
	stored := ledger.New()
	for _, r := range records {
		if _, _, err := stored.Apply(r, 0); err != nil {
			events.Log(d.log, events.RecordSkipped, err)
		}
	}
	for id, e := range stored.Jobs {
		known := d.follower.known(id)
		d.update(func(c *dispatch.Core) {
			if !known {
				c.AddJob(e)
			}
			if e.Cancelled {
				c.Cancel(id)
			}
		})
	}
	if len(stored.Jobs) > 0 {
		d.wakeUp()
	}
}

func (d *dispatcher) batchStored(b dispatch.Batch) {
	d.mu.Lock()
	startable := d.core.BatchStored(b)
	d.signalStored(b)
	d.mu.Unlock()
	if startable {
		d.wakeUp()
	}
}

// append stores records under the next sequence number. It retries until the store accepts or permanently refuses them, or ctx ends.
func (d *dispatcher) append(ctx context.Context, records []ledger.Record) bool {
	out := make([]platform.Record, len(records))
	for i, r := range records {
		out[i] = platform.Record{Key: r.Key, Value: r.Value}
	}
	d.sequence++
	for ctx.Err() == nil {
		sent := boottime.Now()
		_, err := d.store.Append(ctx, platform.TopicJobs, out, &platform.Producer{Name: producerName, Epoch: d.epoch, Sequence: d.sequence})
		switch {
		case err == nil:
			d.appends.report(nil)
			d.mu.Lock()
			d.renewedAt = sent
			d.mu.Unlock()
			return true
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrOutOfSequence):
			events.Log(d.log, events.DispatcherFenced, d.epoch, errText(err))
			d.fenced.Store(true)
			d.cancel()
			return false
		}
		d.appends.report(err)
		sleep(ctx, appendRetryDelay)
	}
	return false
}

// release stores the last decisions and that the role is released, so that another node can claim it at once.
func (d *dispatcher) release() {
	if d.fenced.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	d.mu.Lock()
	batch := d.core.TakeBatch()
	d.mu.Unlock()
	role := d.roleRecord(d.epoch)
	role.Released = true
	d.append(ctx, append(batch.Records, ledger.DispatcherRecord(role)))
}

// maxExpiredJobs bounds the jobs that are removed at once, so that a long ledger doesn't make one large append.
const maxExpiredJobs = 200

// removeExpired removes jobs whose retention has ended, and nodes that have left the fleet.
func (d *dispatcher) removeExpired() {
	before := time.Now().Add(-d.node.settings.Bounds.FinishedRetention).UnixMilli()
	d.follower.mu.Lock()
	records := d.follower.ledger.ExpiredJobRecords(before, maxExpiredJobs)
	records = append(records, d.follower.ledger.AbsentNodeRecords(time.Now().Add(-absenceTimeout).UnixMilli())...)
	d.follower.mu.Unlock()
	d.update(func(c *dispatch.Core) {
		for _, r := range records {
			c.QueueRecord(r)
		}
	})
}
