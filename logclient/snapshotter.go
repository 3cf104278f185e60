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
	// DefaultSnapshotInterval is the growth of the log, in records, after which a snapshot is written.
	DefaultSnapshotInterval = 20_000
	// DefaultSnapshotCheckInterval is the pause between two looks at the growth.
	DefaultSnapshotCheckInterval = time.Second
	// DefaultSnapshotTimeout bounds the writing of one part.
	DefaultSnapshotTimeout = 30 * time.Second
	// staggerParts is the share of the growth, one part in staggerParts for each rank, by which later ranks wait for
	// earlier ones.
	staggerParts = 10
	// keptParts is the share of the kept log, one part in keptParts, that may grow without a snapshot. It leaves half of the
	// retention for the time in which the snapshot is written.
	keptParts = 2
)

// SnapshotterOptions are the settings of a Snapshotter.
type SnapshotterOptions struct {
	Store     *fleet.Store
	Submitter Submitter
	// Incarnation is the writer's own.
	Incarnation string
	// FirstOffset returns the first offset that the log keeps, such as Follower.FirstOffset.
	FirstOffset func() uint64
	// The defaults of the following are the constants above.
	RecordInterval uint64
	CheckInterval  time.Duration
	Timeout        time.Duration
	Count          CountFunc
}

// Snapshotter writes snapshots of the state to the log before retention removes the records that they replace.
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

// Run writes snapshots when they are due, until ctx ends.
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

// Due reports whether this VM should write a snapshot now. The VMs take turns by rank, so that normally the first one alone
// writes it, and the next one only if the log has grown further without a snapshot.
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
		threshold = max(1, min(threshold, (offset-first+1)/keptParts))
	}
	rank := rendezvousRank(members, s.options.Incarnation, snapshot)
	return offset-min(offset, snapshot) >= threshold+threshold*uint64(rank)/staggerParts
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

// Write writes a snapshot of the present state, each part in a batch of its own.
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
