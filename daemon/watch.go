package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/entry"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/kernel"
	"example.org/comfreyrouter/logclient"
)

// watchInterval is the interval at which the state that is logged for operators is checked.
const watchInterval = 250 * time.Millisecond

// watch logs when the log becomes readable or unreadable, when the view becomes fresh or stale, and when the VM's lease expires.
type watch struct {
	logger   zerolog.Logger
	store    *fleet.Store
	engine   *entry.Engine
	follower *logclient.Follower

	readable, fresh, leased bool
}

func (d *daemon) newWatch(l kernel.Lookup) (any, error) {
	e := mustGet[*entry.Engine](l, serviceEngine)
	f := mustGet[*logclient.Follower](l, serviceFollower)
	return &watch{logger: d.Logger, store: d.store, engine: e, follower: f, readable: true, fresh: true}, nil
}

// Run logs changes from the time at which the VM is ready until ctx ends.
func (w *watch) Run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.logChanges()
		}
	}
}

func (w *watch) logChanges() {
	if changed(&w.readable, w.follower.Readable()) {
		if w.readable {
			events.Log(w.logger, events.LogReadable, w.store.Offset())
		} else {
			events.Log(w.logger, events.LogUnreadable, errkind.LogUnavailable)
		}
	}
	if !w.engine.Joined() {
		return
	}
	if changed(&w.fresh, w.engine.ViewFresh()) {
		if w.fresh {
			events.Log(w.logger, events.ViewFresh)
		} else {
			events.Log(w.logger, events.ViewStale, time.Since(w.follower.ReadAt()))
		}
	}
	if changed(&w.leased, w.engine.LeaseLeft() > 0) && !w.leased {
		events.Log(w.logger, events.LeaseExpired)
	}
}

// changed stores now in last and reports whether the value has changed.
func changed(last *bool, now bool) bool {
	was := *last
	*last = now
	return was != now
}
