package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/claims"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/metrics"
)

var (
	_ Backend  = (*backend.Client)(nil)
	_ Counters = (*metrics.Metrics)(nil)
)

// TestAnswer guards the whole path for each kind of id, and that the answer can be asked for on any VM.
func TestAnswer(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		ids, err := a.IssueIDs(t.Context(), testKey, "", 1)
		require.NoError(t, err)
		for i, id := range []string{order("").ID, order("").ID, ids[0]} {
			req := order(fmt.Sprint(i))
			req.ID, req.Repeatable = id, i == 0
			resp := a.Handle(t.Context(), req)
			expect(t, resp, "", errkind.Done)
			require.Equal(t, fmt.Sprintf("answer to %d", i), string(resp.Body))
			require.Equal(t, resp, b.Lookup(t.Context(), testKey, id))
		}
	})
}

// TestFailedOrder guards the outcome of a non-repeatable order for each point where it can fail, and that the same id sent again is
// answered alike and does not run a second time.
func TestFailedOrder(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(a, b *node, req *Request)
		kind    errkind.Kind
		outcome errkind.Outcome
		runs    int
		closed  bool
		again   errkind.Kind
	}{
		{"refused before the start", func(a, _ *node, _ *Request) {
			a.backend.setRun(failing(errkind.BackendRefused))
		}, errkind.BackendRefused, errkind.NotRun, 0, true, errkind.ClaimClosed},
		{"lost after it was sent", func(a, _ *node, _ *Request) {
			a.backend.setRun(failing(errkind.BackendLost))
		}, errkind.BackendLost, errkind.Unknown, 1, false, errkind.BackendLost},
		{"failed on the server", func(a, _ *node, _ *Request) {
			a.backend.setRun(failing(errkind.BackendFailed))
		}, errkind.BackendFailed, errkind.Unknown, 1, false, errkind.BackendFailed},
		{"deadline while it runs", func(a, _ *node, _ *Request) {
			a.backend.setRun(takes(time.Hour))
		}, errkind.RequestTimeout, errkind.Unknown, 1, false, errkind.RequestTimeout},
		{"log down before the claim", func(a, b *node, _ *Request) {
			a.log.setCut(true, a, b)
		}, errkind.ClaimUnconfirmed, errkind.Unknown, 0, false, errkind.ClaimUnconfirmed},
		{"claim lost the race", func(a, b *node, req *Request) {
			_, _ = b.Submit(context.Background(), fleet.Command{Claim: &fleet.MakeClaim{Team: "varmland", RequestID: req.ID}})
		}, errkind.ClaimedElsewhere, errkind.Unknown, 0, false, errkind.ClaimedElsewhere},
		{"own claim of an attempt that is forgotten", func(a, _ *node, req *Request) {
			_, _ = a.Submit(context.Background(), fleet.Command{Claim: &fleet.MakeClaim{Team: "varmland", RequestID: req.ID}})
		}, errkind.ClaimedElsewhere, errkind.Unknown, 0, false, errkind.ClaimedElsewhere},
		{"past deadline", func(_, _ *node, req *Request) { req.TimeLeft = 0 }, errkind.DeadlinePast, errkind.NotRun, 0, true, errkind.ClaimClosed},
		{"malformed", func(_, _ *node, req *Request) {
			req.Refusal = errkind.New(errkind.BadRequest, "bad header")
		}, errkind.BadRequest, errkind.NotRun, 0, true, errkind.ClaimClosed},
		{"no server until the deadline", func(a, _ *node, _ *Request) {
			for _, s := range []string{"s1", "s2"} {
				_, _ = a.Submit(context.Background(), fleet.Command{Health: &fleet.ReportHealth{VM: s, Down: true}})
			}
		}, errkind.NoBackendServer, errkind.NotRun, 0, true, errkind.ClaimClosed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withNodes(t, 4, func(t *testing.T, a, b *node) {
				req := order("order")
				c.prepare(a, b, &req)
				expect(t, a.Handle(t.Context(), req), c.kind, c.outcome)
				require.Equal(t, c.runs, a.backend.count("order"))
				require.Equal(t, c.closed, a.claimOf(req.ID).Outcome == errkind.NotRun)
				a.backend.setRun(takes(time.Millisecond))
				req.Refusal, req.TimeLeft = nil, time.Second
				again := a.Handle(t.Context(), req)
				expect(t, again, c.again, errkind.Lookup(c.again).Outcome)
				require.Equal(t, c.runs, a.backend.count("order"))
			})
		})
	}
}

// TestLateClaimIsClosed guards that an id whose claim was confirmed after its caller had given up is closed, and never runs.
func TestLateClaimIsClosed(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		a.log.setCut(true, a, b)
		req := order("late")
		expect(t, a.Handle(t.Context(), req), errkind.ClaimUnconfirmed, errkind.Unknown)
		a.log.setCut(false, a, b)
		time.Sleep(time.Second)
		for _, n := range []*node{a, b} {
			expect(t, n.Handle(t.Context(), req), errkind.ClaimClosed, errkind.NotRun)
		}
		require.Zero(t, a.backend.count("late"))
	})
}

// TestDuplicateRunsOnce guards that an order that reaches two VMs at once runs once, and that both callers get its answer.
func TestDuplicateRunsOnce(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		a.backend.setRun(takes(time.Second))
		ids, err := a.IssueIDs(t.Context(), testKey, "quotes", 1)
		require.NoError(t, err)
		for _, id := range []string{order("").ID, ids[0]} {
			req := order(id)
			req.ID = id
			var callers sync.WaitGroup
			for _, n := range []*node{a, b, a, b} {
				callers.Go(func() {
					resp := n.Handle(t.Context(), req)
					expect(t, resp, "", errkind.Done)
					assert.Equal(t, "answer to "+id, string(resp.Body))
				})
			}
			callers.Wait()
			require.Equal(t, 1, a.backend.count(id))
		}
	})
}

// TestLostConnectionToTheIssuerIsTriedAgain guards against a caller that is told that the outcome is unknown because the connection to the
// issuer was closed, as a heartbeat that gets no answer in time does: the issuer holds the outcome, and the order runs once.
func TestLostConnectionToTheIssuerIsTriedAgain(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		ids, err := a.IssueIDs(t.Context(), testKey, "quotes", 1)
		require.NoError(t, err)
		req := order(ids[0])
		req.ID = ids[0]
		b.loseForward.Store(true)
		expect(t, b.Handle(t.Context(), req), "", errkind.Done)
		require.False(t, b.loseForward.Load())
		require.Equal(t, 1, a.backend.count(ids[0]))
	})
}

// TestIssuerCutOff guards that only the issuer runs an issued id, also without the log, and that others answer unknown if they
// cannot reach it.
func TestIssuerCutOff(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		ids, err := a.IssueIDs(t.Context(), testKey, "", 1)
		require.NoError(t, err)
		expect(t, a.Handle(t.Context(), order("takes a grant")), "", errkind.Done)
		req := order("issued")
		req.ID = ids[0]
		a.log.setCut(true, a, b)
		a.setAlone(true)
		expect(t, b.Handle(t.Context(), req), errkind.IssuerUnreachable, errkind.Unknown)
		a.setAlone(false)
		expect(t, a.Handle(t.Context(), req), "", errkind.Done)
		require.Equal(t, 1, a.backend.count("issued"))
	})
}

// TestUpperLimit guards the team's upper limit over two VMs: under load, with unequal load, when tasks get lost, and when a VM is
// cut off for longer than its lease while the other one takes over its grants.
func TestUpperLimit(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, a, b *node) {
		burst := func(n *node, count int, callers *sync.WaitGroup) {
			for range count {
				req := order("burst")
				req.Repeatable, req.TimeLeft = true, 30*time.Second
				callers.Go(func() { expect(t, n.Handle(t.Context(), req), "", errkind.Done) })
			}
		}
		var callers sync.WaitGroup
		burst(a, 40, &callers)
		burst(b, 40, &callers)
		callers.Wait()
		a.backend.setRun(takes(time.Hour))
		a.backend.mu.Lock()
		a.backend.deaf = true
		a.backend.mu.Unlock()
		for range 3 {
			req := order("long")
			req.TimeLeft = time.Hour
			go a.Handle(t.Context(), req)
		}
		time.Sleep(20 * time.Second) // a holds all grants
		require.Equal(t, 3, a.backend.count("long"))
		a.log.setCut(true, a)
		a.setAlone(true)
		time.Sleep(11 * time.Minute)
		a.backend.setRun(takes(50 * time.Millisecond))
		burst(b, 10, &callers)
		late := order("late")
		late.Repeatable = true
		expect(t, a.Handle(t.Context(), late), errkind.ViewNotFresh, errkind.NotRun)
		late.Queue = "counter" // open, so its key need not be fresh
		expect(t, a.Handle(t.Context(), late), errkind.LimitReached, errkind.NotRun)
		callers.Wait()
		require.Equal(t, 3, a.backend.read(a.backend.peak))
	})
}

// TestGiveBackInFlight guards the upper limit while a VM has given grants back and has not read so yet.
func TestGiveBackInFlight(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, a, b *node) {
		hold := func(n *node, body string) {
			for range 3 {
				req := order(body)
				req.Repeatable, req.TimeLeft = true, time.Minute
				go n.Handle(t.Context(), req)
			}
		}
		a.backend.setRun(takes(2 * time.Second))
		hold(a, "first")
		time.Sleep(7 * time.Second) // a has no need any more, but nobody asks
		a.backend.setRun(takes(20 * time.Second))
		hold(b, "second")
		most := func() int {
			a.mu.Lock()
			defer a.mu.Unlock()
			if !a.holder.ReturnPending("varmland") {
				return -1
			}
			return a.holder.Allowed("varmland", time.Now())
		}
		for most() < 0 {
			time.Sleep(time.Microsecond)
		}
		a.setBlind(true)
		require.Zero(t, most())
		time.Sleep(5 * time.Second)
		require.Equal(t, 3, a.backend.count("second"))
		hold(a, "third")
		time.Sleep(5 * time.Second)
		require.Equal(t, 3, a.backend.read(a.backend.peak))
		a.setBlind(false)
		time.Sleep(time.Minute)
		require.Equal(t, 3, a.backend.read(a.backend.peak))
	})
}

// TestLostTasksCount guards the upper limit when connections break: a task that may still run counts until its lease has ended.
func TestLostTasksCount(t *testing.T) {
	withNodes(t, 2, func(t *testing.T, a, _ *node) {
		a.backend.setRun(failing(errkind.BackendLost))
		var callers sync.WaitGroup
		for range 6 {
			req := order("lost")
			req.TimeLeft = 2 * time.Minute
			callers.Go(func() { expect(t, a.Handle(t.Context(), req), errkind.BackendLost, errkind.Unknown) })
		}
		callers.Wait()
		require.Equal(t, 2, a.backend.read(a.backend.peak))
		require.Equal(t, 6, a.backend.count("lost"))
	})
}

// TestForgottenResult guards that an order whose result is no longer kept does not run again on the VM that holds its claim.
func TestForgottenResult(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		req := order("forgotten")
		expect(t, a.Handle(t.Context(), req), "", errkind.Done)
		time.Sleep(time.Second)
		a.mu.Lock()
		a.Engine.results = claims.NewResults(0)
		a.mu.Unlock()
		for _, n := range []*node{a, b} {
			expect(t, n.Handle(t.Context(), req), errkind.ResultGone, errkind.Done)
		}
		require.Equal(t, 1, a.backend.count("forgotten"))
	})
}

// TestOutageForAll guards that the peers renew each other's leases while nobody can read the log, so that the teams keep their
// grants for longer than a lease.
func TestOutageForAll(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, a, b *node) {
		a.backend.setRun(takes(25 * time.Minute))
		a.log.setCut(true, a, b)
		a.log.setCut(false, a, b)
		req := order("long")
		req.TimeLeft = time.Hour
		done := make(chan Response, 1)
		go func() { done <- a.Handle(t.Context(), req) }()
		time.Sleep(time.Second)
		a.log.setCut(true, a, b)
		expect(t, <-done, "", errkind.Done)
		a.log.setCut(false, a, b)
	})
}

// TestWithdrawnKey guards that a withdrawn key starts nothing, and that its refusal does not deny an order that ran.
func TestWithdrawnKey(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		ran, fresh := order("ran"), order("fresh")
		expect(t, a.Handle(t.Context(), ran), "", errkind.Done)
		b.Withdraw("k1")
		expect(t, b.Handle(t.Context(), fresh), errkind.KeyWithdrawn, errkind.NotRun)
		k1 := "k1"
		a.log.configure(0, fleet.Change{WithdrawKey: &k1})
		for _, n := range []*node{a, b} {
			resp := n.Handle(t.Context(), ran)
			expect(t, resp, errkind.KeyWithdrawn, errkind.Done)
			require.Empty(t, resp.Body)
		}
		require.Zero(t, a.backend.count("fresh"))
	})
}

// TestLeavingCaller guards that a caller that leaves stops its repeatable task, so that waves of cancellations free the slots, and
// that an order goes on.
func TestLeavingCaller(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, _ *node) {
		a.backend.setRun(takes(2 * time.Second))
		ctx, leave := context.WithCancel(t.Context())
		req, once := order("again"), order("once")
		req.Repeatable = true
		go a.Handle(ctx, req)
		go a.Handle(ctx, once)
		time.Sleep(time.Second)
		leave()
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, a.backend.read(a.backend.running))
		expect(t, a.Handle(t.Context(), once), "", errkind.Done)
	})
}

// TestRetry guards that a repeatable request is tried on other servers, at most three times, and never twice in a row on one.
func TestRetry(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, _ *node) {
		a.backend.setRun(failing(errkind.BackendFailed))
		req := order("fails")
		req.Repeatable = true
		expect(t, a.Handle(t.Context(), req), errkind.AttemptsExhausted, errkind.Unknown)
		require.Equal(t, 3, a.backend.count("fails"))
		used := a.backend.used
		require.NotEqual(t, used[0], used[1])
		require.NotEqual(t, used[1], used[2])
	})
}

// TestResumesCheckpoint guards that a checkpointed task goes on from its state.
func TestResumesCheckpoint(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, _ *node) {
		a.backend.setRun(func(_ context.Context, task backend.Task) ([]byte, error) {
			if !task.Resume {
				return nil, &backend.Checkpoint{State: []byte("half")}
			}
			return task.Body, nil
		})
		resp := a.Handle(t.Context(), order("sheet"))
		expect(t, resp, "", errkind.Done)
		require.Equal(t, "half", string(resp.Body))
	})
}

// TestRefusedAfterStart guards that a request that was checkpointed, or failed once, is not called not run because all later attempts
// were refused.
func TestRefusedAfterStart(t *testing.T) {
	for name, first := range map[string]error{
		"checkpointed": &backend.Checkpoint{State: []byte("half")},
		"failed":       errkind.New(errkind.BackendFailed, "as the test wants it"),
	} {
		withNodes(t, 4, func(t *testing.T, a, _ *node) {
			starts := 0
			a.backend.setRun(func(context.Context, backend.Task) ([]byte, error) {
				starts++
				if starts == 1 {
					return nil, first
				}
				return nil, errkind.New(errkind.BackendRefused, "as the test wants it")
			})
			req := order("sheet")
			req.Repeatable = name == "failed"
			resp := a.Handle(t.Context(), req)
			assert.Equal(t, errkind.Unknown, resp.Outcome, name+": "+resp.Message)
		})
	}
}

// TestUrgentStartsInTime guards the 3.1 s within which urgent work starts while overnight work fills the pool.
func TestUrgentStartsInTime(t *testing.T) {
	withNodes(t, 32, func(t *testing.T, a, _ *node) {
		a.backend.setRun(takes(time.Hour))
		for range 17 {
			req := order("sheet")
			req.Queue, req.Repeatable, req.TimeLeft = "sheets", true, 10*time.Hour
			go a.Handle(t.Context(), req)
		}
		time.Sleep(time.Second)
		require.Equal(t, 16, a.backend.read(a.backend.running))
		a.backend.setRun(takes(0))
		req := order("quote")
		req.TimeLeft = 3100 * time.Millisecond
		expect(t, a.Handle(t.Context(), req), "", errkind.Done)
	})
}

// TestServerRestart guards that a task on a server that has just restarted, with a clock that starts anew, gets no lease by the
// clock of the earlier boot: it would outlive its holder's grant.
func TestServerRestart(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, _ *node) {
		time.Sleep(61500 * time.Millisecond)
		a.backend.restart()
		longest := time.Duration(0)
		a.backend.setRun(func(_ context.Context, task backend.Task) ([]byte, error) {
			a.backend.mu.Lock()
			defer a.backend.mu.Unlock()
			longest = max(longest, time.Duration(a.backend.until[task.ID]-a.backend.clock())*time.Millisecond)
			return nil, nil
		})
		expect(t, a.Handle(t.Context(), order("after the restart")), "", errkind.Done)
		require.Positive(t, longest)
		require.LessOrEqual(t, longest, a.options.Limits.TaskLease)
	})
}

// TestShutdown guards that a planned stop interrupts no request, and that the ids it did not run are known as not run afterwards.
func TestShutdown(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		a.backend.setRun(takes(2 * time.Second))
		ids, err := a.IssueIDs(t.Context(), testKey, "", 2)
		require.NoError(t, err)
		req := order("running")
		req.ID = ids[0]
		done := make(chan Response, 1)
		go func() { done <- a.Handle(t.Context(), req) }()
		time.Sleep(time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- a.Shutdown(t.Context()) }()
		time.Sleep(100 * time.Millisecond)
		expect(t, a.Handle(t.Context(), order("refused")), errkind.ShuttingDown, errkind.NotRun)
		expect(t, <-done, "", errkind.Done)
		require.NoError(t, <-stopped)
		a.setAlone(true)
		expect(t, b.Handle(t.Context(), req), errkind.ResultGone, errkind.Done)
		req.ID = ids[1]
		expect(t, b.Handle(t.Context(), req), errkind.ClaimClosed, errkind.NotRun)
	})
}
