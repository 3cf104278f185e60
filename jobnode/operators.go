package jobnode

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/platform"
)

const (
	// configWait is how long a read of the operators' records waits for a new one. The view of the keys is at most this much
	// older than a call to the store, which leaves most of the time in which a withdrawn key must stop working.
	configWait = 900 * time.Millisecond
	// retryPause is the pause after a failed call to the store.
	retryPause = 150 * time.Millisecond
	// revokeMargin is what is kept of the time in which a withdrawn key must stop working, for the call in progress.
	revokeMargin = 1500 * time.Millisecond
)

// operators follows what operators publish: the configuration and the waves.
type operators struct {
	store  *platform.StoreClient
	log    zerolog.Logger
	revoke time.Duration
	link   link

	mu        sync.RWMutex
	config    *jobs.Configuration
	keys      map[string]string // key to workspace
	waves     map[string]jobs.Wave
	confirmed time.Duration // start of the last read that succeeded
	changed   chan struct{} // closed and replaced when something has changed
}

func newOperators(store *platform.StoreClient, revoke time.Duration, log zerolog.Logger) *operators {
	return &operators{store: store, revoke: revoke, log: log, link: link{name: "operators' records", log: log}, waves: map[string]jobs.Wave{}, changed: make(chan struct{})}
}

// Run follows the operators' topic until ctx ends.
func (o *operators) Run(ctx context.Context) error {
	from := int64(-1)
	for ctx.Err() == nil {
		sent := boottime.Now()
		records, next, err := o.read(ctx, from)
		o.link.report(err)
		if err != nil {
			if errors.Is(err, platform.ErrRecordsDeleted) {
				next = -1
			}
			from = next
			sleep(ctx, retryPause)
			continue
		}
		from = next
		o.take(records, sent)
	}
	return nil
}

// read reads on from an offset, or everything if it is below 0.
func (o *operators) read(ctx context.Context, from int64) ([]platform.Record, int64, error) {
	if from < 0 {
		records, next, err := o.store.LatestByKey(ctx, platform.TopicOperators)
		if err != nil {
			return nil, -1, err
		}
		return records, next, nil
	}
	page, err := o.store.Read(ctx, platform.TopicOperators, from, configWait)
	if err != nil {
		return nil, from, err
	}
	return page.Records, page.Next, nil
}

func (o *operators) take(records []platform.Record, sent time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		switch {
		case r.Key == platform.KeyConfiguration && len(r.Value) > 0:
			o.takeConfiguration(r.Value)
		case strings.HasPrefix(r.Key, platform.KeyWavePrefix):
			o.takeWave(r)
		}
	}
	o.confirmed = sent
	if len(records) > 0 {
		close(o.changed)
		o.changed = make(chan struct{})
	}
}

func (o *operators) takeConfiguration(value []byte) {
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
	events.Log(o.log, events.ConfigInForce, c.Version, "")
}

func (o *operators) takeWave(r platform.Record) {
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

// view is what operators have in force, as far as it is known.
type view struct {
	config *jobs.Configuration
	keys   map[string]string
	fresh  bool // keys that were withdrawn long enough ago are known to be
}

func (o *operators) view() view {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return view{o.config, o.keys, o.config != nil && boottime.Now()-o.confirmed < o.revoke-revokeMargin}
}

func (o *operators) allWaves() []jobs.Wave {
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
