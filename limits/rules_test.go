package limits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/limits"
)

var start = time.Unix(1_000_000, 0)

// holderPair is a fold's state with two members, a and b, and their holders.
type holderPair struct {
	t       *testing.T
	state   *fleet.State
	seq     uint64
	holders map[string]*limits.Holder
}

func newHolderPair(t *testing.T, team fleet.Team) *holderPair {
	p := &holderPair{t: t, state: fleet.NewState(), holders: map[string]*limits.Holder{}}
	p.state.Config.Teams["t"] = team
	p.state.Config.DataCentres["c"] = fleet.DataCentre{}
	for _, id := range []string{"a", "b"} {
		p.state.Config.EntryVMs[id] = fleet.EntryVM{DataCentre: "c"}
		p.holders[id] = limits.NewHolder(limits.DefaultOptions())
	}
	for _, id := range []string{"a", "b"} {
		p.append(id, fleet.Command{Join: &fleet.Join{VM: id}}, fleet.Command{Renew: &fleet.Renew{}})
		p.holders[id].Renewed(start)
	}
	return p
}

func (p *holderPair) append(writer string, commands ...fleet.Command) {
	p.seq++
	for _, r := range p.state.Apply(p.seq, fleet.Batch{Writer: writer, Seq: p.seq, Commands: commands}) {
		require.NoError(p.t, r.Err())
	}
	for id, h := range p.holders {
		h.Observe(p.state, id)
	}
}

// planAndConfirm lets both holders plan, and applies and confirms their commands.
func (p *holderPair) planAndConfirm(now time.Time) {
	for _, id := range []string{"a", "b"} {
		if commands := p.holders[id].Plan(now).Commands(); len(commands) > 0 {
			p.append(id, commands...)
			p.holders[id].Confirmed(p.state, id)
		}
	}
}

// startAllowed starts as many tasks as the holder may start, and leaves 100 requests waiting.
func (p *holderPair) startAllowed(id string, now time.Time) {
	for p.holders[id].Start("t", now) {
	}
	p.holders[id].SetWaiting("t", 100)
}

// TestReturnedGrantIsNotUsed guards against a task started on a grant whose return has been sent but not yet confirmed.
func TestReturnedGrantIsNotUsed(t *testing.T) {
	p := newHolderPair(t, fleet.Team{Limit: 10})
	p.holders["a"].SetWaiting("t", 10)
	p.planAndConfirm(start)
	p.holders["a"].SetWaiting("t", 0)
	p.holders["b"].SetWaiting("t", 1)
	p.planAndConfirm(start)
	later := start.Add(2 * limits.DefaultIdleWindow)
	for range 3 {
		p.holders["a"].Plan(later)
		later = later.Add(limits.DefaultIdleWindow)
	}
	require.Equal(t, 10, p.state.GrantOf("t", "a").Total())
	require.False(t, p.holders["a"].Start("t", later))
}

// TestCompetingHoldersSplitEvenly guards against a holder that keeps the whole limit while it is busy, and against a request that
// is lost because nothing is free.
func TestCompetingHoldersSplitEvenly(t *testing.T) {
	p := newHolderPair(t, fleet.Team{Limit: 11})
	p.startAllowed("a", start)
	p.planAndConfirm(start)
	p.startAllowed("a", start)
	require.Equal(t, 11, p.holders["a"].Running("t"))
	p.startAllowed("b", start)
	for i := range 12 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		p.planAndConfirm(now)
		p.holders["a"].End("t")
		p.startAllowed("a", now)
		p.startAllowed("b", now)
	}
	require.Equal(t, 6, p.holders["a"].Running("t"))
	require.Equal(t, 5, p.holders["b"].Running("t"))
}

// TestLoweredLimitIsReached guards against a busy holder, or one with firm parts, that stays above a lowered limit.
func TestLoweredLimitIsReached(t *testing.T) {
	p := newHolderPair(t, fleet.Team{Limit: 10, FirmPerEntryVM: 4})
	for range 2 {
		p.startAllowed("a", start)
		p.startAllowed("b", start)
		p.planAndConfirm(start)
	}
	lowered := fleet.Change{Team: &fleet.Object[fleet.Team]{Name: "t", Value: &fleet.Team{Limit: 3}}}
	p.append("", fleet.Command{Configure: &fleet.Configure{ID: "lower", Changes: []fleet.Change{lowered}}})
	for p.state.Granted("t") > 3 {
		before := p.state.Granted("t")
		for id, h := range p.holders {
			require.False(t, h.Start("t", start), id)
			if h.Running("t") > 0 {
				h.End("t")
			}
		}
		p.planAndConfirm(start)
		require.Less(t, p.state.Granted("t"), before)
	}
}

// TestPeersDoNotRenewEndedLease guards against a lease that the peers' answers renew after it has ended: a member that sent an expiry
// and then crashed does not answer, and its append may still arrive.
func TestPeersDoNotRenewEndedLease(t *testing.T) {
	h := limits.NewHolder(limits.DefaultOptions())
	h.Renewed(start)
	end := h.LeaseEnd()
	h.RenewedByPeers(start.Add(time.Minute), end)
	require.Equal(t, end, h.LeaseEnd())
	h.RenewedByPeers(start.Add(time.Minute), end.Add(-1))
	require.Equal(t, end.Add(time.Minute), h.LeaseEnd())
}

// TestPausedWatcherRestartsCounts guards against an expiry by a VM that has contact again after a pause, although the answers of
// the other members have renewed the holder's lease meanwhile.
func TestPausedWatcherRestartsCounts(t *testing.T) {
	o := limits.DefaultOptions()
	w := limits.NewWatcher(o)
	w.MajorityContact(start, start)
	w.Observe(map[string]fleet.Member{"h": {LeaseSeq: 1}}, "w", start)
	resumed := start.Add(2 * o.Lease)
	w.MajorityContact(resumed, resumed)
	require.Empty(t, w.DueCommands(resumed))
}

// TestFirmTasksOutliveTheLease guards against more tasks that outlive the lease than the firm part of the grant allows.
func TestFirmTasksOutliveTheLease(t *testing.T) {
	p := newHolderPair(t, fleet.Team{Limit: 10, FirmPerEntryVM: 1})
	h := p.holders["a"]
	now := h.LeaseEnd().Add(-time.Second)
	require.Equal(t, now.Add(limits.DefaultTaskLease), h.TaskLeaseEnd("t", 0, now))
	require.Equal(t, h.LeaseEnd(), h.TaskLeaseEnd("t", 1, now))
}

// TestFirmPartsFollowTheConfiguration guards against declared firm parts that never become free because another holder has the
// whole limit, and against firm parts that stay after they are no longer declared.
func TestFirmPartsFollowTheConfiguration(t *testing.T) {
	p := newHolderPair(t, fleet.Team{Limit: 10})
	p.startAllowed("a", start)
	p.planAndConfirm(start)
	p.startAllowed("a", start)
	declare := func(id string, expect uint64, firm int) {
		team := fleet.Change{Team: &fleet.Object[fleet.Team]{Name: "t", Value: &fleet.Team{Limit: 10, FirmPerEntryVM: firm}}}
		p.append("", fleet.Command{Configure: &fleet.Configure{ID: id, Expect: expect, Changes: []fleet.Change{team}}})
	}
	declare("up", 0, 2)
	for range 3 {
		p.holders["a"].End("t")
		p.startAllowed("a", start)
		p.planAndConfirm(start)
		p.append("b", fleet.Command{Renew: &fleet.Renew{}})
	}
	require.Equal(t, fleet.Grant{Firm: 2}, p.state.GrantOf("t", "b"))
	require.Equal(t, 8, p.holders["a"].Running("t"))
	declare("down", 1, 0)
	p.planAndConfirm(start.Add(time.Minute))
	require.Equal(t, 0, p.state.GrantOf("t", "b").Total())
	require.Equal(t, 10, p.state.GrantOf("t", "a").Total())
}
