package logclient

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/comfreyrouter/fleet"
)

// Defaults of a Snapshotter.
const (
	// DefaultSnapshotInterval is the number of records after which a snapshot is written.
	DefaultSnapshotInterval = 20_000
	// DefaultSnapshotCheckInterval is the pause between two checks of whether a snapshot is due.
	DefaultSnapshotCheckInterval = time.Second
	// DefaultSnapshotTimeout limits the write of one part.
	DefaultSnapshotTimeout = 30 * time.Second
	// staggerDivisor sets the additional growth for which each rank waits, in order to give the ranks before it time to
	// write the snapshot: one staggerDivisor-th of the threshold for each rank.
	staggerDivisor = 10
	// retentionDivisor limits the growth without a snapshot to one retentionDivisor-th of the kept log. This leaves half of
	// the retention for the time in which the snapshot is written.
	retentionDivisor = 2
)

// SnapshotterOptions configures a Snapshotter.
type SnapshotterOptions struct {
	Store     *fleet.Store
	Submitter Submitter
	// Incarnation is the incarnation of the VM's writer.
	Incarnation string
	// FirstOffset returns the first offset that the log still keeps, as Follower.FirstOffset does.
	FirstOffset func() uint64
	// The following default to the constants above.
	RecordInterval uint64
	CheckInterval  time.Duration
	Timeout        time.Duration
	Count          CountFunc
}

// Snapshotter writes snapshots of the state to the log before the log's retention deletes the records that they replace.
type Snapshotter struct{ options SnapshotterOptions }

// NewSnapshotter returns a snapshotter.
func NewSnapshotter(o SnapshotterOptions) *Snapshotter {
	if o.FirstOffset == nil {
		o.FirstOffset = func() uint64 { return 0 }
	}
	if o.RecordInterval == 0 {
		o.RecordInterval = DefaultSnapshotInterval
	}
	if o.CheckInterval <= 0 {
		o.CheckInterval = DefaultSnapshotCheckInterval
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultSnapshotTimeout
	}
	o.Count = o.Count.orNothing()
	return &Snapshotter{options: o}
}

// Run writes snapshots when they are due, until ctx is done.
func (s *Snapshotter) Run(ctx context.Context) error {
	for {
		sleep(ctx, s.options.CheckInterval)
		if ctx.Err() != nil {
			return nil
		}
		if !s.Due() {
			continue
		}
		if err := s.Write(ctx); err != nil {
			s.options.Count(EventSnapshotFailed)
			continue
		}
		s.options.Count(EventSnapshotWritten)
	}
}

// Due reports whether this VM should write a snapshot now. Higher ranks have a higher threshold, so that normally only the VM
// with rank 0 writes a snapshot, and the next rank does so only if the log has grown further without one.
func (s *Snapshotter) Due() bool {
	var offset, snapshot uint64
	var members []string
	s.options.Store.View(func(state *fleet.State) {
		offset = state.Offset
		snapshot = state.SnapshotOffset
		members = state.LiveMembers()
	})
	threshold := s.options.RecordInterval
	if first := s.options.FirstOffset(); first > 1 && first <= offset {
		threshold = max(1, min(threshold, (offset-first+1)/retentionDivisor))
	}
	rank := rendezvousRank(members, s.options.Incarnation, snapshot)
	return offset-min(offset, snapshot) >= threshold+threshold*uint64(rank)/staggerDivisor
}

// rendezvousRank returns the position of self among the members, ordered by a hash of member and key.
func rendezvousRank(members []string, self string, key uint64) int {
	weight := func(member string) uint64 { return xxhash.Sum64String(fmt.Sprintf("%s/%d", member, key)) }
	own := weight(self)
	rank := 0
	for _, m := range members {
		if m != self && weight(m) > own {
			rank++
		}
	}
	return rank
}

// Write writes a snapshot of the current state, each part in a separate batch.
func (s *Snapshotter) Write(ctx context.Context) error {
	state := s.options.Store.Copy()
	upTo := state.Offset
	data, err := state.Encode()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-%d", s.options.Incarnation, upTo)
	for _, part := range fleet.SplitSnapshot(id, upTo, data) {
		if err := s.submit(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshotter) submit(ctx context.Context, part fleet.Command) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	results, err := s.options.Submitter.Submit(ctx, part)
	if err != nil {
		return err
	}
	return results[0].Err()
}
