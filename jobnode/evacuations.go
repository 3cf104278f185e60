package jobnode

import (
	"context"
	"strings"
	"time"

	"github.com/samber/oops"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/evacuation"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/relay"
)

// applyEvacuation applies a request to evacuate a data centre, or its withdrawal. The name is in the key, and the value isn't read. o.mu must be held.
func (o *operatorFollower) applyEvacuation(r platform.Record) {
	name := strings.TrimPrefix(r.Key, platform.KeyEvacuationPrefix)
	if name == "" {
		events.Log(o.log, events.RecordSkipped, oops.Errorf("record %s names no data centre", r.Key))
		return
	}
	if len(r.Value) == 0 {
		o.setEvacuation(o.evacuation.State.Withdraw(name, boottime.Now()))
		return
	}
	o.setEvacuation(o.evacuation.State.Request(name))
}

// replaceEvacuations withdraws the requests that aren't among the newest records of all keys: their withdrawal wasn't read.
func (o *operatorFollower) replaceEvacuations(records []platform.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for _, r := range records {
		if name, found := strings.CutPrefix(r.Key, platform.KeyEvacuationPrefix); found && name != "" && len(r.Value) > 0 {
			names = append(names, name)
		}
	}
	o.setEvacuation(o.evacuation.State.Replace(names, boottime.Now()))
}

// setEvacuation replaces the state and logs what has changed. o.mu must be held.
func (o *operatorFollower) setEvacuation(next evacuation.State) {
	for _, name := range next.DataCentres() {
		if !o.evacuation.State.Evacuated(name) {
			events.Log(o.log, events.EvacuationRequested, name)
		}
	}
	for _, name := range o.evacuation.State.DataCentres() {
		if !next.Evacuated(name) {
			events.Log(o.log, events.EvacuationWithdrawn, name)
		}
	}
	o.evacuation.State = next
}

// upToDateAt returns a time up to which a read shows all records: when it was sent, or, if the store has waited for records in vain, the end of that wait.
func upToDateAt(sent, wait, now time.Duration, empty bool) time.Duration {
	if empty && now-sent >= wait {
		return sent + wait
	}
	return sent
}

// evacuationView returns what this node knows of the evacuations.
func (o *operatorFollower) evacuationView() evacuation.View {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.evacuation
}

// startGuard sends starts to backend servers where no evacuation forbids it, as this node knows at that moment. Everything else it passes on.
type startGuard struct {
	relay.ServerClient
	operators *operatorFollower
}

// Start sends a start, unless the server's data centre is evacuated or may be.
func (g startGuard) Start(ctx context.Context, server jobs.Server, o jobs.Order) jobs.StartResult {
	switch g.operators.evacuate.Decide(g.operators.evacuationView(), server.DataCentre, boottime.Now()) {
	case evacuation.DataCentreEvacuated:
		return jobs.StartEvacuated
	case evacuation.ViewOutdated:
		return jobs.StartViewOutdated
	case evacuation.MayStart:
	}
	return g.ServerClient.Start(ctx, server, o)
}

// setEvacuated brings what the core knows of the evacuations up to date. d.mu must be held.
func (d *dispatcher) setEvacuated(c *dispatch.Core) {
	view, now := d.operators.evacuationView(), boottime.Now()
	held := d.operators.evacuate.Outdated(view, now)
	c.SetEvacuated(view.State, held)
	if held == d.held {
		return
	}
	d.held = held
	if held {
		events.Log(d.log, events.StartsHeld, (now - view.ConfirmedAt).Seconds())
		return
	}
	events.Log(d.log, events.StartsResumed)
}
