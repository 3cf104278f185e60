package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/samplefleet"
)

// configure applies a Configure command that expects the version in force.
func configure(s *fleet.State, id string, changes ...fleet.Change) fleet.Result {
	c := &fleet.Configure{ID: id, Expect: s.Config.Version, Changes: changes}
	return s.Apply(s.Offset+1, fleet.Batch{Writer: "x", Seq: s.Offset + 1, Commands: []fleet.Command{{Configure: c}}})[0]
}

func removeServer(name string) fleet.Change {
	return fleet.Change{Server: &fleet.Object[fleet.BackendServer]{Name: name}}
}

// TestConfigureKeepsBudgetsAndPools guards against a change that removes more VMs of a pool than its budget allows, or deletes
// a pool that a VM moves to.
func TestConfigureKeepsBudgetsAndPools(t *testing.T) {
	s, err := samplefleet.State(samplefleet.Size{Servers: 8, Pools: 2, Teams: 1, EntryVMs: 1, DataCentres: 1, Regions: 1})
	require.NoError(t, err)
	r := configure(s, "a", removeServer("server-000"), removeServer("server-002"))
	assert.Equal(t, errkind.BudgetExceeded, r.Kind, "only one VM of the pool may be unavailable at a time")
	assert.True(t, configure(s, "b", removeServer("server-000")).OK())

	moved := s.VMs["server-001"]
	moved.MoveTo, moved.Phase = "pool-000", fleet.Moving
	s.VMs["server-001"] = moved
	r = configure(s, "c", fleet.Change{Pool: &fleet.Object[fleet.Pool]{Name: "pool-000"}})
	assert.Equal(t, errkind.InvalidConfig, r.Kind)
}

// TestRepeatedChangeReturnsItsFirstResult guards against a repeated change that returns the version of a later change.
func TestRepeatedChangeReturnsItsFirstResult(t *testing.T) {
	s, err := samplefleet.State(samplefleet.Today)
	require.NoError(t, err)
	peak, ordinary := "peak", "ordinary"
	first := configure(s, "a", fleet.Change{InForce: &peak})
	second := configure(s, "b", fleet.Change{InForce: &ordinary})
	assert.Equal(t, first.Version+1, second.Version)
	assert.Equal(t, first, configure(s, "a", fleet.Change{InForce: &peak}))
	assert.Equal(t, ordinary, s.Config.InForce)
}

// TestWithdrawnKeyOutlivesItsTeam guards against a withdrawn key that keeps its team from being deleted, or that can be added again.
func TestWithdrawnKeyOutlivesItsTeam(t *testing.T) {
	s, err := samplefleet.State(samplefleet.Today)
	require.NoError(t, err)
	id := "key-team-00"
	remove := fleet.Change{Team: &fleet.Object[fleet.Team]{Name: "team-00"}}
	assert.Equal(t, errkind.InvalidConfig, configure(s, "a", remove).Kind)
	assert.True(t, configure(s, "b", fleet.Change{WithdrawKey: &id}, remove).OK())
	again := fleet.Change{AddKey: &fleet.Object[fleet.Key]{Name: id, Value: &fleet.Key{Team: "team-01", Hash: s.Config.Keys[id].Hash}}}
	assert.False(t, configure(s, "c", again).OK())
}

// TestChangeGrantsFirmPartsAtOnce guards against a team without a grant: it was declared after the entry VMs had joined, and the log
// became unavailable before their next renewal.
func TestChangeGrantsFirmPartsAtOnce(t *testing.T) {
	s, err := samplefleet.State(samplefleet.Size{Servers: 8, Pools: 2, Teams: 1, EntryVMs: 2, DataCentres: 1, Regions: 1})
	require.NoError(t, err)
	join := fleet.Command{Join: &fleet.Join{VM: samplefleet.EntryVM(0), DataCentre: "dc-0"}}
	require.True(t, s.Apply(s.Offset+1, fleet.Batch{Writer: "01M", Seq: 1, Commands: []fleet.Command{join}})[0].OK())
	lateTeam := fleet.Team{Share: 1, Limit: 5, FirmPerEntryVM: 2}
	require.True(t, configure(s, "a", fleet.Change{Team: &fleet.Object[fleet.Team]{Name: "late", Value: &lateTeam}}).OK())
	assert.Equal(t, 2, s.GrantOf("late", "01M").Firm)
	assert.LessOrEqual(t, s.Granted("late"), lateTeam.Limit)
}

// TestRepeatedWithdrawalKeepsTheVersion guards against a version conflict of an operator's next change because several VMs sent the
// same withdrawal.
func TestRepeatedWithdrawalKeepsTheVersion(t *testing.T) {
	s, err := samplefleet.State(samplefleet.Today)
	require.NoError(t, err)
	id := "key-team-00"
	first := configure(s, "operator", fleet.Change{WithdrawKey: &id})
	require.True(t, first.OK())
	again := configure(s, "entry VM", fleet.Change{WithdrawKey: &id})
	assert.Equal(t, first, again)
	assert.Equal(t, first.Version, s.Config.Version)
}
