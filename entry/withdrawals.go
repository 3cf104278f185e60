package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

const (
	// withdrawPeriod is how often withdrawals that are not in the log are sent there.
	withdrawPeriod = 2 * time.Second
	// withdrawTimeout bounds one attempt.
	withdrawTimeout = 5 * time.Second
)

// withdrawLoop puts withdrawals into the log that were made while it was down. Every VM that has heard of one does so, under one id, so that it has
// its effect once and is not lost with the VM at which it was made.
func (e *Engine) withdrawLoop(ctx context.Context) {
	every(ctx, withdrawPeriod, func() {
		if !e.options.LogView.Readable() {
			return
		}
		for _, id := range e.withdrawnIDs() {
			e.submitWithdrawal(ctx, id)
		}
	})
}

func (e *Engine) withdrawnIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.withdrawn))
}

func (e *Engine) submitWithdrawal(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	results, err := e.options.Submitter.Submit(ctx, fleet.Command{Configure: &fleet.Configure{
		ID: "withdraw-" + id, By: e.options.VM, Changes: []fleet.Change{{WithdrawKey: &id}},
	}})
	if err != nil || results[0].Kind != errkind.NotFound {
		return // takeWithdrawnLocked drops it once it is in the configuration
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.withdrawn, id) // there is no such key
}
