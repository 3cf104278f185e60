package platform

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Errors of calls.
var (
	// ErrOutage means that the platform was unavailable. A call that it fails before it takes effect has none; an append that an outage meets on its
	// way back has taken effect.
	ErrOutage = errors.New("platform: outage")
	// ErrAnswerLost means that the caller received no answer. The call may have taken effect or may still do so.
	ErrAnswerLost = errors.New("platform: the answer was lost")
	// ErrClosed means that the stand-in was closed during the call.
	ErrClosed = errors.New("platform: closed")
)

// Faults are the faults that a Core injects into calls. The zero value injects none.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Cut lists the names and data centres of callers that are partitioned from the platform. Their calls hang.
	Cut []string `json:"cut"`
	// AppendDelayMillis and ReadDelayMillis delay each call before it takes effect, in milliseconds.
	AppendDelayMillis int `json:"append_delay_millis"`
	ReadDelayMillis   int `json:"read_delay_millis"`
	// LoseAnswers is the number of next appends that take effect but whose answers are lost.
	LoseAnswers int `json:"lose_answers"`
	// HoldAppends is the number of next appends that are held in the network for HoldMillis and then take effect. Their callers get no answer.
	HoldAppends int `json:"hold_appends"`
	HoldMillis  int `json:"hold_millis"`
}

// Caller identifies the caller of a call, to which Faults.Cut is applied.
type Caller struct {
	Name       string
	DataCentre string
}

// SetFaults replaces all faults.
func (c *Core) SetFaults(f Faults) {
	f.Cut = slices.Clone(f.Cut)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	c.notifyChange()
}

// Faults returns the current faults, with the remaining counts.
func (c *Core) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.faults
	f.Cut = slices.Clone(f.Cut)
	return f
}

func (f *Faults) cuts(caller Caller) bool {
	return slices.ContainsFunc(f.Cut, func(name string) bool {
		return name != "" && (name == caller.Name || name == caller.DataCentre)
	})
}

// awaitReachable fails a call during an outage and blocks it while its caller is partitioned. A call that was blocked fails even after the partition
// ends, because its packets were lost.
func (c *Core) awaitReachable(ctx context.Context, caller Caller) error {
	wasCut := false
	for {
		c.mu.Lock()
		cut := c.faults.cuts(caller)
		outage := c.faults.Outage
		changed := c.changed
		c.mu.Unlock()
		switch {
		case cut:
			wasCut = true
		case wasCut:
			return ErrAnswerLost
		case outage:
			return ErrOutage
		default:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-c.done:
			return ErrClosed
		}
	}
}

func (c *Core) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-c.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return ErrClosed
	}
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
