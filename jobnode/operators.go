package jobnode

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/evacuation"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/internal/ingress"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/platform"
)

const (
	// operatorReadWait is how long a read of the operators' records waits for a new one. The view of the keys is at most this much older than a
	// call to the store, which leaves most of the time in which a withdrawn key must stop working.
	operatorReadWait = 900 * time.Millisecond
	// storeRetryDelay is the delay after a failed call to the store.
	storeRetryDelay = 150 * time.Millisecond
	// revokeMargin is the part of the time in which a withdrawn key must stop working that is reserved for the call in progress.
	revokeMargin = 1500 * time.Millisecond
)

// operatorFollower follows what operators publish: the configuration, the waves and the requests to evacuate data centres.
type operatorFollower struct {
	store         *platform.StoreClient
	log           zerolog.Logger
	revokeWithin  time.Duration
	evacuate      evacuation.Bound
	reads         dependencyLog
	onHeaderLimit func(bytes int) // called with the limit of the head of a call; may be nil

	mu          sync.RWMutex
	config      *jobs.Configuration
	keys        map[string]string // workspace by key
	waves       map[string]jobs.Wave
	evacuation  evacuation.View
	confirmedAt time.Duration    // start of the last read that reached the end of the log
	offsets     map[string]int64 // of the newest record of each key
	changed     chan struct{}    // closed and replaced when new records are read
}

func newOperatorFollower(store *platform.StoreClient, bounds Bounds, log zerolog.Logger) *operatorFollower {
	return &operatorFollower{store: store, revokeWithin: bounds.RevokeWithin, evacuate: evacuation.Bound(bounds.Evacuate), log: log, reads: dependencyLog{name: "operators' records", log: log}, waves: map[string]jobs.Wave{}, offsets: map[string]int64{}, changed: make(chan struct{})}
}

// Run follows the operators' topic until ctx ends.
func (o *operatorFollower) Run(ctx context.Context) error {
	from, caughtUp := int64(-1), false
	for ctx.Err() == nil {
		wait := o.evacuate.ReadWait(operatorReadWait)
		if !caughtUp {
			wait = 0 // neither calls nor tasks are accepted before the view is recent again
		}
		sent := boottime.Now()
		var err error
		from, caughtUp, err = o.step(ctx, from, wait, sent)
		o.reads.report(err)
		if err != nil {
			sleep(ctx, storeRetryDelay)
		}
	}
	return nil
}

// step reads and applies the records from an offset on, or the newest record of each key if the offset is below 0. It returns where to continue, and whether
// it has reached the end of the log: only then the view is known to have everything that was stored before the read was sent.
func (o *operatorFollower) step(ctx context.Context, from int64, wait, sent time.Duration) (next int64, caughtUp bool, err error) {
	if from < 0 {
		records, end, err := o.store.LatestByKey(ctx, platform.TopicOperators)
		if err != nil {
			return -1, false, err
		}
		o.restore(records)
		return end, false, nil
	}
	page, err := o.store.Read(ctx, platform.TopicOperators, from, wait, platform.MaxPageKB)
	if errors.Is(err, platform.ErrRecordsDeleted) {
		return -1, false, err
	}
	if err != nil {
		return from, false, err
	}
	o.applyRecords(page.Records)
	if page.Next < page.End {
		return page.Next, false, nil
	}
	o.confirm(sent, upToDateAt(sent, wait, boottime.Now(), page.Next == from))
	return page.Next, true, nil
}

// restore applies the newest record of each key. Requests that aren't among them were withdrawn.
func (o *operatorFollower) restore(records []platform.Record) {
	o.replaceEvacuations(records)
	o.replaceWaves(records)
	o.applyRecords(records)
}

// confirm records that the view has everything that was stored before a read was sent, and all requests to evacuate data centres that were stored before
// another time.
func (o *operatorFollower) confirm(sent, evacuations time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmedAt, o.evacuation.ConfirmedAt = sent, evacuations
}

// applyRecords applies records in their order, without those that are older than a record of the same key which is known.
func (o *operatorFollower) applyRecords(records []platform.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		if newer, known := o.offsets[r.Key]; known && newer > r.Offset {
			continue
		}
		o.offsets[r.Key] = r.Offset
		switch {
		case r.Key == platform.KeyConfiguration && len(r.Value) > 0:
			o.applyConfiguration(r.Value)
		case strings.HasPrefix(r.Key, platform.KeyWavePrefix):
			o.applyWave(r)
		case strings.HasPrefix(r.Key, platform.KeyEvacuationPrefix):
			o.applyEvacuation(r)
		}
	}
	if len(records) > 0 {
		close(o.changed)
		o.changed = make(chan struct{})
	}
}

func (o *operatorFollower) applyConfiguration(value []byte) {
	c, err := platform.DecodeConfiguration(value)
	if err != nil {
		events.Log(o.log, events.RecordSkipped, err)
		return
	}
	if o.config != nil && c.Version <= o.config.Version {
		return
	}
	o.config = &c
	o.keys = map[string]string{}
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			o.keys[k] = w.Name
		}
	}
	if o.onHeaderLimit != nil {
		o.onHeaderLimit(int(min(c.MaxHeaderBytes, ingress.MaxHeaderBytes)))
	}
	events.Log(o.log, events.ConfigInForce, c.Version, "")
}

func (o *operatorFollower) applyWave(r platform.Record) {
	if len(r.Value) == 0 {
		delete(o.waves, r.Key)
		return
	}
	w, err := platform.DecodeWave(r.Value)
	if err != nil {
		events.Log(o.log, events.RecordSkipped, err)
		return
	}
	o.waves[r.Key] = w
}

// replaceWaves removes the waves that aren't among the newest records of all keys: their removal wasn't read.
func (o *operatorFollower) replaceWaves(records []platform.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.waves, func(key string, _ jobs.Wave) bool {
		return !slices.ContainsFunc(records, func(r platform.Record) bool { return r.Key == key && len(r.Value) > 0 })
	})
}

// operatorView is the configuration and the keys as this node knows them.
type operatorView struct {
	config *jobs.Configuration
	keys   map[string]string
	fresh  bool // recent enough to show every withdrawal of a key that must have taken effect
}

func (o *operatorFollower) view() operatorView {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return operatorView{o.config, o.keys, o.config != nil && boottime.Now()-o.confirmedAt < o.revokeWithin-revokeMargin}
}

func (o *operatorFollower) allWaves() []jobs.Wave {
	o.mu.RLock()
	defer o.mu.RUnlock()
	waves := make([]jobs.Wave, 0, len(o.waves))
	for _, w := range o.waves {
		waves = append(waves, w)
	}
	return waves
}

// sleep waits for d or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
