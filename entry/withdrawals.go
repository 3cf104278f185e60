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
	// withdrawalPeriod is how often withdrawals that are not yet in the log are submitted.
	withdrawalPeriod = 2 * time.Second
	// withdrawalTimeout limits one attempt to submit a withdrawal.
	withdrawalTimeout = 5 * time.Second
)

// withdrawalLoop submits withdrawals that were made while the log was unavailable. Every VM that knows of a withdrawal submits it under the
// same id, so that it takes effect once and is not lost with the VM on which it was made.
func (e *Engine) withdrawalLoop(ctx context.Context) {
	runEvery(ctx, withdrawalPeriod, func() {
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
	return slices.Sorted(maps.Keys(e.withdrawnKeys))
}

func (e *Engine) submitWithdrawal(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	results, err := e.options.Submitter.Submit(ctx, fleet.Command{Configure: &fleet.Configure{
		ID: "withdraw-" + id, By: e.options.VM, Changes: []fleet.Change{{WithdrawKey: &id}},
	}})
	if err != nil || results[0].Kind != errkind.NotFound {
		return // mergeWithdrawnLocked drops it once it is in the configuration
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.withdrawnKeys, id) // there is no such key
}
