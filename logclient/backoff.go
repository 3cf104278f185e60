package logclient

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff configures the pause between attempts. The pause doubles from Min to Max and is reduced by a random amount of up to
// half (jitter), so that the VMs don't all retry at the same time when the platform recovers.
type Backoff struct {
	Min time.Duration
	Max time.Duration
}

func (b Backoff) orDefault(d Backoff) Backoff {
	if b.Min <= 0 {
		b.Min = d.Min
	}
	if b.Max < b.Min {
		b.Max = max(d.Max, b.Min)
	}
	return b
}

// maxDoublings prevents an overflow of the shift in pause.
const maxDoublings = 16

// pause returns the pause after the given number of consecutive failures.
func (b Backoff) pause(failures int) time.Duration {
	doublings := min(max(0, failures-1), maxDoublings)
	full := min(b.Min<<doublings, b.Max)
	return full/2 + rand.N(full/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
