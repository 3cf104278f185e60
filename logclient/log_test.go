package logclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/standin/platform"
	"example.org/comfreyrouter/logclient"
)

// vm holds the log components of an entry VM.
type vm struct {
	store    *fleet.Store
	follower *logclient.Follower
	writer   *logclient.Writer
	mu       sync.Mutex
	events   map[logclient.Event]int
}

// run calls test in a synctest bubble with a platform. All goroutines that test starts end with it.
func run(t *testing.T, o platform.Options, test func(ctx context.Context, t *testing.T, core *platform.Core)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		core := platform.NewCore(o)
		test(ctx, t, core)
		cancel()
		core.Close()
		synctest.Wait()
	})
}

func startVM(ctx context.Context, core *platform.Core, name string, fallback logclient.ReadFallback) *vm {
	v := &vm{store: fleet.NewStore(), events: map[logclient.Event]int{}}
	log := core.Client(platform.Caller{Name: name, DataCentre: "dc-" + name})
	v.writer = logclient.NewWriter(logclient.WriterOptions{Log: log, Store: v.store, Incarnation: "inc-" + name, Count: v.count})
	v.follower = logclient.NewFollower(logclient.FollowerOptions{Log: log, Store: v.store, Fallback: fallback, Count: v.count})
	go v.writer.Run(ctx)
	go v.follower.Run(ctx)
	return v
}

func (v *vm) count(e logclient.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.events[e]++
}

func (v *vm) counted(e logclient.Event) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.events[e]
}

func (v *vm) leaseSeq(incarnation string) (seq uint64) {
	v.store.View(func(s *fleet.State) { seq = s.Members[incarnation].LeaseSeq })
	return seq
}

func (v *vm) join(ctx context.Context, t *testing.T, name string) {
	results, err := v.writer.Submit(ctx, fleet.Command{Join: &fleet.Join{VM: name}})
	require.NoError(t, err)
	require.True(t, results[0].OK())
}

func renew() fleet.Command { return fleet.Command{Renew: &fleet.Renew{}} }

// directPeer is a ReadFallback that reads another VM directly.
type directPeer struct{ other *vm }

func (p directPeer) Fetch(_ context.Context, from uint64, limit int) (logclient.FetchResult, error) {
	records, ok := p.other.follower.Recent(from, limit)
	if ok {
		return logclient.FetchResult{Records: records}, nil
	}
	var data []byte
	p.other.store.View(func(s *fleet.State) { data, _ = s.Encode() })
	state, err := fleet.DecodeState(data)
	return logclient.FetchResult{State: state}, err
}

// TestLostAnswerAppliesOnce guards against a command that is applied twice, or never, because the answer to its append was lost.
func TestLostAnswerAppliesOnce(t *testing.T) {
	run(t, platform.Options{}, func(ctx context.Context, t *testing.T, core *platform.Core) {
		v := startVM(ctx, core, "a", nil)
		v.join(ctx, t, "a")
		core.SetFaults(platform.Faults{LoseAnswers: 3})
		_, err := v.writer.Submit(ctx, renew())
		require.NoError(t, err)
		time.Sleep(time.Minute)
		require.Equal(t, uint64(2), v.leaseSeq("inc-a"))
	})
}

// TestDelayedCopyHasNoEffect guards against a delayed append that takes effect although it arrives after its retry and after later
// batches.
func TestDelayedCopyHasNoEffect(t *testing.T) {
	run(t, platform.Options{}, func(ctx context.Context, t *testing.T, core *platform.Core) {
		v := startVM(ctx, core, "a", nil)
		v.join(ctx, t, "a")
		core.SetFaults(platform.Faults{HoldAppends: 1, HoldMillis: 10_000})
		for range 3 {
			_, err := v.writer.Submit(ctx, renew())
			require.NoError(t, err)
		}
		before := v.store.Offset()
		time.Sleep(time.Minute)
		require.Equal(t, before+1, v.store.Offset(), "the late copy is in the log")
		require.Equal(t, uint64(4), v.leaseSeq("inc-a"))
	})
}

// TestOutageThenRecovery guards against commands that are lost or repeated because of an outage, and against more than one append per
// interval.
func TestOutageThenRecovery(t *testing.T) {
	run(t, platform.Options{}, func(ctx context.Context, t *testing.T, core *platform.Core) {
		v := startVM(ctx, core, "a", nil)
		v.join(ctx, t, "a")
		core.SetFaults(platform.Faults{Outage: true})
		time.Sleep(10 * time.Second)
		require.False(t, v.follower.Readable())
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		var waiting sync.WaitGroup
		for range 2 { // the second one waits behind the first
			waiting.Go(func() {
				_, err := v.writer.Submit(short, renew())
				if errkind.Of(err) != errkind.LogUnavailable {
					t.Error(err)
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		waiting.Wait()
		for range 100 {
			waiting.Go(func() {
				_, err := v.writer.Submit(ctx, renew())
				if err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(time.Minute)
		appended := v.store.Offset()
		core.SetFaults(platform.Faults{})
		waiting.Wait()
		require.LessOrEqual(t, v.store.Offset()-appended, uint64(2), "100 commands go in few batches")
		require.Equal(t, uint64(101), v.leaseSeq("inc-a"), "the abandoned commands were never sent")
		time.Sleep(5 * time.Second)
		require.True(t, v.follower.Readable())
		require.Less(t, time.Since(v.follower.ReadAt()), 3*time.Second)
	})
}

// TestRestartFromSnapshotInLog guards against a VM that cannot start, or starts with a wrong state, after retention has deleted the start
// of the log, and against snapshots that are written by several VMs at once or too late.
func TestRestartFromSnapshotInLog(t *testing.T) {
	run(t, platform.Options{KeepRecords: 100}, func(ctx context.Context, t *testing.T, core *platform.Core) {
		vms := []*vm{startVM(ctx, core, "a", nil), startVM(ctx, core, "b", nil), startVM(ctx, core, "c", nil)}
		for i, v := range vms {
			name := string(rune('a' + i))
			v.join(ctx, t, name)
			go logclient.NewSnapshotter(logclient.SnapshotterOptions{
				Store: v.store, Submitter: v.writer, Incarnation: "inc-" + name, FirstOffset: v.follower.FirstOffset, Count: v.count,
			}).Run(ctx)
		}
		for range 2000 {
			_, err := vms[0].writer.Submit(ctx, renew())
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		late := startVM(ctx, core, "d", nil)
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, late.counted(logclient.EventRestored))
		require.Equal(t, vms[0].leaseSeq("inc-a"), late.leaseSeq("inc-a"))
		require.Equal(t, vms[0].store.Offset(), late.store.Offset())
		written := 0
		for _, v := range vms {
			written += v.counted(logclient.EventSnapshotWritten)
		}
		require.InDelta(t, 2000/50, written, 15, "about one snapshot for each half of the retention")
	})
}

// TestFollowThroughPeer guards against a new VM that cannot start while the platform is down, and against a VM without a connection to
// the platform that doesn't follow the log through a peer, or that returns to a lower offset.
func TestFollowThroughPeer(t *testing.T) {
	run(t, platform.Options{}, func(ctx context.Context, t *testing.T, core *platform.Core) {
		a := startVM(ctx, core, "a", nil)
		a.join(ctx, t, "a")
		b := startVM(ctx, core, "b", directPeer{a})
		core.SetFaults(platform.Faults{Cut: []string{"dc-b"}})
		highest := uint64(0)
		b.store.OnApplied(func(applied fleet.Applied) { highest = max(highest, applied.Offset) })
		for range 20 {
			_, err := a.writer.Submit(ctx, renew())
			require.NoError(t, err)
			time.Sleep(14 * time.Second)
			require.Equal(t, a.store.Offset(), b.store.Offset(), "in force everywhere within 14 s")
		}
		require.False(t, b.follower.Readable())
		require.Equal(t, b.store.Offset(), highest)
		core.SetFaults(platform.Faults{Outage: true})
		c := startVM(ctx, core, "c", directPeer{b})
		time.Sleep(14 * time.Second)
		require.Equal(t, a.store.Offset(), c.store.Offset())
		require.Equal(t, a.leaseSeq("inc-a"), c.leaseSeq("inc-a"))
		require.True(t, c.follower.ReadAt().IsZero())
	})
}

// TestSnapshotBeforeGapIsNotUsed guards against a VM that installs a snapshot although records after it have been deleted, and so applies
// a log with a gap.
func TestSnapshotBeforeGapIsNotUsed(t *testing.T) {
	run(t, platform.Options{KeepRecords: 3}, func(ctx context.Context, t *testing.T, core *platform.Core) {
		state := fleet.NewState()
		state.Apply(1, fleet.Batch{})
		data, err := state.Encode()
		require.NoError(t, err)
		for offset := range 6 {
			batch := fleet.Batch{}
			if offset == 4 {
				batch.Commands = fleet.SplitSnapshot("old", 1, data)
			}
			record, err := json.Marshal(batch)
			require.NoError(t, err)
			_, err = core.Append(ctx, platform.Caller{}, record)
			require.NoError(t, err)
		}
		v := startVM(ctx, core, "a", nil)
		time.Sleep(time.Minute)
		require.Zero(t, v.store.Offset())
		require.Positive(t, v.counted(logclient.EventRestoreFailed))
	})
}

// TestOneAppendPerInterval guards against a VM that makes more than its share of the appends that the platform accepts.
func TestOneAppendPerInterval(t *testing.T) {
	run(t, platform.Options{}, func(ctx context.Context, t *testing.T, core *platform.Core) {
		v := startVM(ctx, core, "a", nil)
		for began := time.Now(); time.Since(began) < time.Second; {
			v.join(ctx, t, "a")
		}
		require.LessOrEqual(t, v.store.Offset(), uint64(time.Second/logclient.DefaultAppendInterval)+1)
	})
}

// scriptedLog answers reads from a fixed list of pages, then fails.
type scriptedLog struct{ pages []logclient.Page }

func (l *scriptedLog) Append(context.Context, []byte) (uint64, error) {
	return 0, errors.New("no append")
}

func (l *scriptedLog) Read(context.Context, uint64, int, time.Duration) (logclient.Page, error) {
	if len(l.pages) == 0 {
		return logclient.Page{}, errors.New("the script has ended")
	}
	page := l.pages[0]
	l.pages = l.pages[1:]
	time.Sleep(time.Second)
	return page, nil
}

// TestOffsetNeverDecreasesOrSkips guards against an offset that decreases or skips a record when the log returns outdated pages, pages
// with gaps, or an end before the state's offset, and against a malformed record that stops the follower.
func TestOffsetNeverDecreasesOrSkips(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		page := func(next uint64, data string, offsets ...uint64) logclient.Page {
			p := logclient.Page{First: 1, Next: next}
			for _, o := range offsets {
				p.Records = append(p.Records, logclient.Record{Offset: o, Data: []byte(data)})
			}
			return p
		}
		log := &scriptedLog{pages: []logclient.Page{
			page(4, `{}`, 1, 2, 3), page(3, `{}`, 1, 2), page(7, `{}`, 5, 6), page(8, `not json`, 2, 3, 4, 5), page(2, `{}`),
		}}
		store := fleet.NewStore()
		var seen []uint64
		store.OnApplied(func(a fleet.Applied) { seen = append(seen, a.Offset) })
		f := logclient.NewFollower(logclient.FollowerOptions{Log: log, Store: store})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		require.NoError(t, f.Run(ctx))
		require.Equal(t, began, f.ReadAt(), "only the first page reached the end of the log")
		require.Equal(t, []uint64{1, 2, 3, 4, 5}, seen)
		require.Equal(t, uint64(2), f.MalformedRecords())
		old, err := fleet.NewState().Encode()
		require.NoError(t, err)
		state, err := fleet.DecodeState(old)
		require.NoError(t, err)
		require.False(t, store.Install(state))
	})
}

// TestSnapshotInstalledPastPendingBatch guards against a submission that blocks forever, or gets a wrong result, when a snapshot is
// installed past its batch.
func TestSnapshotInstalledPastPendingBatch(t *testing.T) {
	run(t, platform.Options{}, func(ctx context.Context, t *testing.T, core *platform.Core) {
		other := startVM(ctx, core, "b", nil)
		v := &vm{store: fleet.NewStore(), events: map[logclient.Event]int{}}
		log := core.Client(platform.Caller{Name: "a"})
		v.writer = logclient.NewWriter(logclient.WriterOptions{Log: log, Store: v.store, Incarnation: "inc-a"})
		go v.writer.Run(ctx)
		failed := make(chan error, 1)
		go func() {
			_, err := v.writer.Submit(ctx, fleet.Command{Join: &fleet.Join{VM: "a"}})
			failed <- err
		}()
		time.Sleep(5 * time.Second)
		fetched, err := directPeer{other}.Fetch(ctx, 0, 1)
		require.NoError(t, err)
		require.True(t, v.store.Install(fetched.State))
		require.Equal(t, errkind.LogUnavailable, errkind.Of(<-failed))
	})
}

// TestWriterLimits guards against a queue that grows without limit during an outage, and against batches that exceed their limits.
func TestWriterLimits(t *testing.T) {
	run(t, platform.Options{}, func(ctx context.Context, t *testing.T, core *platform.Core) {
		store := fleet.NewStore()
		sizes := map[int]bool{}
		store.OnApplied(func(a fleet.Applied) { sizes[len(a.Batch.Commands)] = true })
		log := core.Client(platform.Caller{Name: "a"})
		w := logclient.NewWriter(logclient.WriterOptions{
			Log: log, Store: store, Incarnation: "inc-a", BatchCommands: 4, QueueSubmissions: 10,
		})
		var refused, answered int
		var mu sync.Mutex
		var submitted sync.WaitGroup
		for i := range 12 {
			submitted.Go(func() {
				wave := fleet.Command{Wave: &fleet.SetWave{Name: fmt.Sprint(i, strings.Repeat("x", 100))}}
				_, err := w.Submit(ctx, wave)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					refused++
				} else {
					answered++
				}
			})
		}
		synctest.Wait()
		go w.Run(ctx)
		go logclient.NewFollower(logclient.FollowerOptions{Log: log, Store: store}).Run(ctx)
		submitted.Wait()
		require.Equal(t, []int{2, 10}, []int{refused, answered})
		require.Equal(t, map[int]bool{4: true, 2: true}, sizes)
	})
}
