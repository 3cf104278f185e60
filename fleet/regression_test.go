package fleet

import (
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
)

// testLog applies batches at consecutive offsets.
type testLog struct{ state *State }

func newTestLog() *testLog {
	l := &testLog{state: NewState()}
	l.state.Apply(1, initialBatch())
	return l
}

func (l *testLog) add(writer string, seq uint64, commands ...Command) []Result {
	return l.state.Apply(l.state.Offset+1, Batch{Writer: writer, Seq: seq, Commands: commands})
}

func (l *testLog) change(id string, changes ...Change) Result {
	c := &Configure{ID: id, Expect: l.state.Config.Version, Changes: changes}
	return l.add("op-"+id, 1, Command{Configure: c})[0]
}

func joinCommand(vm string) Command { return Command{Join: &Join{VM: vm, DataCentre: "d1"}} }

// TestDuplicateBatchOfNonMember guards against a late copy of a batch that is applied again because its writer has left, or never joined.
func TestDuplicateBatchOfNonMember(t *testing.T) {
	l := newTestLog()
	key := "k1"
	withdrawal := Command{Configure: &Configure{ID: "w", Changes: []Change{{WithdrawKey: &key}}}}
	require.Equal(t, errkind.NotFound, l.add("inc-1", 1, withdrawal)[0].Kind)
	require.True(t, l.add("inc-2", 1, joinCommand("e1"))[0].OK())
	require.Equal(t, errkind.NotFound, l.add("inc-2", 2, withdrawal)[0].Kind)
	require.True(t, l.add("inc-2", 3, Command{Leave: &Leave{}})[0].OK())
	given := Key{Team: "a", Hash: "0000000000000000000000000000000000000000000000000000000000000000"}
	require.True(t, l.change("give", Change{AddKey: &Object[Key]{key, &given}}).OK())
	require.Nil(t, l.add("inc-1", 1, withdrawal))
	require.Nil(t, l.add("inc-2", 2, withdrawal))
	require.False(t, l.state.Config.Keys[key].Withdrawn)
}

// TestRepeatedSnapshotPart guards against a snapshot that counts as complete because one of its parts was appended twice.
func TestRepeatedSnapshotPart(t *testing.T) {
	l := newTestLog()
	part := func(index int) Command {
		return Command{Snapshot: &SnapshotPart{ID: "s", UpTo: 1, Index: index, Count: 2}}
	}
	l.add("inc-1", 1, part(0))
	l.add("inc-1", 2, part(0))
	require.Zero(t, l.state.SnapshotOffset)
	l.add("inc-1", 3, part(1))
	require.Equal(t, uint64(1), l.state.SnapshotOffset)
}

// TestDeletePoolWithMovedVM guards against the deletion of a pool while a VM declared in another pool is in it or moves to it.
func TestDeletePoolWithMovedVM(t *testing.T) {
	l := newTestLog()
	l.add("inc-1", 1, joinCommand("e1"))
	deletePool := []Change{{Pool: &Object[Pool]{Name: "spare"}}}
	for _, name := range []string{"s5", "s6"} {
		require.True(t, l.change("delete-"+name, Change{Server: &Object[BackendServer]{Name: name}}).OK())
	}
	vm := l.state.VMs["s1"]
	require.True(t, l.add("inc-1", 2, Command{Move: &StartMove{VM: "s1", Epoch: vm.Epoch, To: "spare"}})[0].OK())
	require.Equal(t, errkind.InvalidConfig, l.change("while-moving", deletePool...).Kind)
	require.True(t, l.add("inc-1", 3, Command{Phase: &AdvancePhase{VM: "s1", Epoch: vm.Epoch + 1, To: Serving}})[0].OK())
	require.Equal(t, errkind.InvalidConfig, l.change("moved", deletePool...).Kind)
}

// TestRemovalsCountTogether guards against several removals in one change that exceed a budget only together.
func TestRemovalsCountTogether(t *testing.T) {
	l := newTestLog()
	require.True(t, l.change("min", Change{Pool: &Object[Pool]{"p1", &Pool{Service: "svc", Min: 1, MaxUnavailable: 2}}}).OK())
	remove := func(name string) Change { return Change{Server: &Object[BackendServer]{Name: name}} }
	require.Equal(t, errkind.BudgetExceeded, l.change("both", remove("s1"), remove("s2")).Kind)
	require.True(t, l.change("one", remove("s1")).OK())
}

// TestPresetNeedsName guards against a preset with an empty name, which could be put in force and then deleted, so that no preset
// would be in force.
func TestPresetNeedsName(t *testing.T) {
	l := newTestLog()
	require.Equal(t, errkind.InvalidConfig, l.change("p", Change{Preset: &Object[Preset]{"", &Preset{}}}).Kind)
}

// TestMoveOfFailedVMIsNotCompleted guards against a move that brings a VM which has failed meanwhile into its new pool, whose budget
// would then be exceeded.
func TestMoveOfFailedVMIsNotCompleted(t *testing.T) {
	l := newTestLog()
	l.add("inc-1", 1, joinCommand("e1"))
	epoch := l.state.VMs["s1"].Epoch
	l.add("inc-1", 2, Command{Move: &StartMove{VM: "s1", Epoch: epoch, To: "p2"}}, Command{Health: &ReportHealth{VM: "s1", Down: true}})
	arrive := Command{Phase: &AdvancePhase{VM: "s1", Epoch: epoch + 1, To: Serving}}
	require.Equal(t, errkind.BudgetExceeded, l.add("inc-1", 3, arrive)[0].Kind)
	arrive.Phase.Abandon = true
	require.True(t, l.add("inc-1", 4, arrive)[0].OK())
	require.Equal(t, "p1", l.state.VMs["s1"].Pool)
}

// TestFloorOfDroppedClaimsNeverFalls guards against a floor that falls when an older id is dropped after a newer one, which would let
// the newer one run again.
func TestFloorOfDroppedClaimsNeverFalls(t *testing.T) {
	lowerMaxClaims(t)
	l := newTestLog()
	l.add("inc-1", 1, joinCommand("e1"))
	claim := func(seq, millis uint64) Result {
		id := ulid.ULID{15: 1}
		require.NoError(t, id.SetTime(millis))
		return l.add("inc-1", seq, Command{Claim: &MakeClaim{Team: "a", RequestID: id.String()}})[0]
	}
	for i, millis := range []uint64{7, 3, 8, 9, 10, 11} {
		require.True(t, claim(uint64(i+2), millis).OK())
	}
	require.Equal(t, errkind.IDExpired, claim(8, 7).Kind)
}
