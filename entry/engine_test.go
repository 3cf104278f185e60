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

// TestAnswer checks the whole path of a request for each kind of id, and that the response can be looked up on any VM.
func TestAnswer(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		ids, err := a.IssueIDs(t.Context(), testKey, "", 1)
		require.NoError(t, err)
		for i, id := range []string{nonRepeatableRequest("").ID, nonRepeatableRequest("").ID, ids[0]} {
			req := nonRepeatableRequest(fmt.Sprint(i))
			req.ID, req.Repeatable = id, i == 0
			resp := a.Handle(t.Context(), req)
			expect(t, resp, "", errkind.Done)
			require.Equal(t, fmt.Sprintf("answer to %d", i), string(resp.Body))
			require.Equal(t, resp, b.Lookup(t.Context(), testKey, id))
		}
	})
}

// TestNonRepeatableFailure checks the outcome of a non-repeatable request for each point where it can fail, and that a repetition with the
// same id gets a consistent response and does not run a second time.
func TestNonRepeatableFailure(t *testing.T) {
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
			a.backend.setRun(failsWith(errkind.BackendRefused))
		}, errkind.BackendRefused, errkind.NotRun, 0, true, errkind.ClaimClosed},
		{"lost after it was sent", func(a, _ *node, _ *Request) {
			a.backend.setRun(failsWith(errkind.BackendLost))
		}, errkind.BackendLost, errkind.Unknown, 1, false, errkind.BackendLost},
		{"failed on the server", func(a, _ *node, _ *Request) {
			a.backend.setRun(failsWith(errkind.BackendFailed))
		}, errkind.BackendFailed, errkind.Unknown, 1, false, errkind.BackendFailed},
		{"deadline while it runs", func(a, _ *node, _ *Request) {
			a.backend.setRun(runsFor(time.Hour))
		}, errkind.RequestTimeout, errkind.Unknown, 1, false, errkind.RequestTimeout},
		{"log down before the claim", func(a, b *node, _ *Request) {
			a.log.setUnreachable(true, a, b)
		}, errkind.ClaimUnconfirmed, errkind.Unknown, 0, false, errkind.ClaimUnconfirmed},
		{"claim lost the race", func(a, b *node, req *Request) {
			_, _ = b.Submit(context.Background(), fleet.Command{Claim: &fleet.MakeClaim{Team: "varmland", RequestID: req.ID}})
		}, errkind.ClaimedElsewhere, errkind.Unknown, 0, false, errkind.ClaimedElsewhere},
		{"own claim of an earlier attempt whose result is lost", func(a, _ *node, req *Request) {
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
				req := nonRepeatableRequest("order")
				c.prepare(a, b, &req)
				expect(t, a.Handle(t.Context(), req), c.kind, c.outcome)
				require.Equal(t, c.runs, a.backend.startsOf("order"))
				require.Equal(t, c.closed, a.claimOf(req.ID).Outcome == errkind.NotRun)
				a.backend.setRun(runsFor(time.Millisecond))
				req.Refusal, req.TimeLeft = nil, time.Second
				again := a.Handle(t.Context(), req)
				expect(t, again, c.again, errkind.Lookup(c.again).Outcome)
				require.Equal(t, c.runs, a.backend.startsOf("order"))
			})
		})
	}
}

// TestLateClaimIsClosed checks that an id whose claim is confirmed only after its call has timed out is closed and never runs.
func TestLateClaimIsClosed(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		a.log.setUnreachable(true, a, b)
		req := nonRepeatableRequest("late")
		expect(t, a.Handle(t.Context(), req), errkind.ClaimUnconfirmed, errkind.Unknown)
		a.log.setUnreachable(false, a, b)
		time.Sleep(time.Second)
		for _, n := range []*node{a, b} {
			expect(t, n.Handle(t.Context(), req), errkind.ClaimClosed, errkind.NotRun)
		}
		require.Zero(t, a.backend.startsOf("late"))
	})
}

// TestDuplicateRunsOnce checks that a non-repeatable request that reaches two VMs at once runs once, and that all callers get its response.
func TestDuplicateRunsOnce(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		a.backend.setRun(runsFor(time.Second))
		ids, err := a.IssueIDs(t.Context(), testKey, "quotes", 1)
		require.NoError(t, err)
		for _, id := range []string{nonRepeatableRequest("").ID, ids[0]} {
			req := nonRepeatableRequest(id)
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
			require.Equal(t, 1, a.backend.startsOf(id))
		}
	})
}

// TestForwardRetriesLostConnection guards against answering "unknown" because the connection to the issuer was closed, which happens when
// a heartbeat times out. The issuer still has the outcome, and the request runs once.
func TestForwardRetriesLostConnection(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		ids, err := a.IssueIDs(t.Context(), testKey, "quotes", 1)
		require.NoError(t, err)
		req := nonRepeatableRequest(ids[0])
		req.ID = ids[0]
		b.loseNextForward.Store(true)
		expect(t, b.Handle(t.Context(), req), "", errkind.Done)
		require.False(t, b.loseNextForward.Load())
		require.Equal(t, 1, a.backend.startsOf(ids[0]))
	})
}

// TestIssuerUnreachable checks that only the issuer runs an issued id, also while the log is unavailable, and that other VMs answer
// "unknown" if they cannot reach it.
func TestIssuerUnreachable(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		ids, err := a.IssueIDs(t.Context(), testKey, "", 1)
		require.NoError(t, err)
		expect(t, a.Handle(t.Context(), nonRepeatableRequest("takes a grant")), "", errkind.Done)
		req := nonRepeatableRequest("issued")
		req.ID = ids[0]
		a.log.setUnreachable(true, a, b)
		a.setPeersUnreachable(true)
		expect(t, b.Handle(t.Context(), req), errkind.IssuerUnreachable, errkind.Unknown)
		a.setPeersUnreachable(false)
		expect(t, a.Handle(t.Context(), req), "", errkind.Done)
		require.Equal(t, 1, a.backend.startsOf("issued"))
	})
}

// TestTeamLimit checks the team's limit across two VMs: under load, with unequal load, with lost tasks, and when a VM is partitioned for
// longer than its lease while the other one takes over its grants.
func TestTeamLimit(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, a, b *node) {
		burst := func(n *node, count int, callers *sync.WaitGroup) {
			for range count {
				req := nonRepeatableRequest("burst")
				req.Repeatable, req.TimeLeft = true, 30*time.Second
				callers.Go(func() { expect(t, n.Handle(t.Context(), req), "", errkind.Done) })
			}
		}
		var callers sync.WaitGroup
		burst(a, 40, &callers)
		burst(b, 40, &callers)
		callers.Wait()
		a.backend.setRun(runsFor(time.Hour))
		a.backend.mu.Lock()
		a.backend.ignoreStops = true
		a.backend.mu.Unlock()
		for range 3 {
			req := nonRepeatableRequest("long")
			req.TimeLeft = time.Hour
			go a.Handle(t.Context(), req)
		}
		time.Sleep(20 * time.Second) // a holds all grants
		require.Equal(t, 3, a.backend.startsOf("long"))
		a.log.setUnreachable(true, a)
		a.setPeersUnreachable(true)
		time.Sleep(11 * time.Minute)
		a.backend.setRun(runsFor(50 * time.Millisecond))
		burst(b, 10, &callers)
		late := nonRepeatableRequest("late")
		late.Repeatable = true
		expect(t, a.Handle(t.Context(), late), errkind.ViewNotFresh, errkind.NotRun)
		late.Queue = "counter" // an open queue, so no fresh view of the keys is needed
		expect(t, a.Handle(t.Context(), late), errkind.LimitReached, errkind.NotRun)
		callers.Wait()
		require.Equal(t, 3, a.backend.ofTestTeam(a.backend.peak))
	})
}

// TestUnreadGrantReturn checks the team's limit while a VM has returned grants but has not yet read that record back.
func TestUnreadGrantReturn(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, a, b *node) {
		sendThree := func(n *node, body string) {
			for range 3 {
				req := nonRepeatableRequest(body)
				req.Repeatable, req.TimeLeft = true, time.Minute
				go n.Handle(t.Context(), req)
			}
		}
		a.backend.setRun(runsFor(2 * time.Second))
		sendThree(a, "first")
		time.Sleep(7 * time.Second) // a no longer needs its grants, but no other VM requests them
		a.backend.setRun(runsFor(20 * time.Second))
		sendThree(b, "second")
		allowed := func() int {
			a.mu.Lock()
			defer a.mu.Unlock()
			if !a.holder.ReturnPending("varmland") {
				return -1
			}
			return a.holder.Allowed("varmland", time.Now())
		}
		for allowed() < 0 {
			time.Sleep(time.Microsecond)
		}
		a.setWriteOnly(true)
		require.Zero(t, allowed())
		time.Sleep(5 * time.Second)
		require.Equal(t, 3, a.backend.startsOf("second"))
		sendThree(a, "third")
		time.Sleep(5 * time.Second)
		require.Equal(t, 3, a.backend.ofTestTeam(a.backend.peak))
		a.setWriteOnly(false)
		time.Sleep(time.Minute)
		require.Equal(t, 3, a.backend.ofTestTeam(a.backend.peak))
	})
}

// TestLostTasksCount checks the team's limit when connections break: a task that may still run counts until its lease has expired.
func TestLostTasksCount(t *testing.T) {
	withNodes(t, 2, func(t *testing.T, a, _ *node) {
		a.backend.setRun(failsWith(errkind.BackendLost))
		var callers sync.WaitGroup
		for range 6 {
			req := nonRepeatableRequest("lost")
			req.TimeLeft = 2 * time.Minute
			callers.Go(func() { expect(t, a.Handle(t.Context(), req), errkind.BackendLost, errkind.Unknown) })
		}
		callers.Wait()
		require.Equal(t, 2, a.backend.ofTestTeam(a.backend.peak))
		require.Equal(t, 6, a.backend.startsOf("lost"))
	})
}

// TestEvictedResultDoesNotRerun checks that a non-repeatable request whose result is no longer kept does not run again, also on the VM that
// holds its claim.
func TestEvictedResultDoesNotRerun(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		req := nonRepeatableRequest("forgotten")
		expect(t, a.Handle(t.Context(), req), "", errkind.Done)
		time.Sleep(time.Second)
		a.mu.Lock()
		a.Engine.results = claims.NewResults(0)
		a.mu.Unlock()
		for _, n := range []*node{a, b} {
			expect(t, n.Handle(t.Context(), req), errkind.ResultGone, errkind.Done)
		}
		require.Equal(t, 1, a.backend.startsOf("forgotten"))
	})
}

// TestLogOutageKeepsLeases checks that the peers renew each other's leases while no VM can read the log, so that the teams keep their
// grants for longer than a lease.
func TestLogOutageKeepsLeases(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, a, b *node) {
		a.backend.setRun(runsFor(25 * time.Minute))
		a.log.setUnreachable(true, a, b)
		a.log.setUnreachable(false, a, b)
		req := nonRepeatableRequest("long")
		req.TimeLeft = time.Hour
		done := make(chan Response, 1)
		go func() { done <- a.Handle(t.Context(), req) }()
		time.Sleep(time.Second)
		a.log.setUnreachable(true, a, b)
		expect(t, <-done, "", errkind.Done)
		a.log.setUnreachable(false, a, b)
	})
}

// TestWithdrawnKey checks that a withdrawn key starts nothing, and that its refusal still reports the outcome of a request that ran.
func TestWithdrawnKey(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		ran, fresh := nonRepeatableRequest("ran"), nonRepeatableRequest("fresh")
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
		require.Zero(t, a.backend.startsOf("fresh"))
	})
}

// TestCallerDisconnect checks that a repeatable task is stopped when its caller disconnects, so that mass cancellations free their slots,
// and that a non-repeatable one continues.
func TestCallerDisconnect(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, _ *node) {
		a.backend.setRun(runsFor(2 * time.Second))
		ctx, disconnect := context.WithCancel(t.Context())
		req, once := nonRepeatableRequest("again"), nonRepeatableRequest("once")
		req.Repeatable = true
		go a.Handle(ctx, req)
		go a.Handle(ctx, once)
		time.Sleep(time.Second)
		disconnect()
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, a.backend.ofTestTeam(a.backend.running))
		expect(t, a.Handle(t.Context(), once), "", errkind.Done)
	})
}

// TestRetry checks that a repeatable request is attempted at most three times, and never twice in a row on one server.
func TestRetry(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, _ *node) {
		a.backend.setRun(failsWith(errkind.BackendFailed))
		req := nonRepeatableRequest("fails")
		req.Repeatable = true
		expect(t, a.Handle(t.Context(), req), errkind.AttemptsExhausted, errkind.Unknown)
		require.Equal(t, 3, a.backend.startsOf("fails"))
		used := a.backend.startAddresses
		require.NotEqual(t, used[0], used[1])
		require.NotEqual(t, used[1], used[2])
	})
}

// TestResumesCheckpoint checks that a checkpointed task resumes from its state.
func TestResumesCheckpoint(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, _ *node) {
		a.backend.setRun(func(_ context.Context, task backend.Task) ([]byte, error) {
			if !task.Resume {
				return nil, &backend.Checkpoint{State: []byte("half")}
			}
			return task.Body, nil
		})
		resp := a.Handle(t.Context(), nonRepeatableRequest("sheet"))
		expect(t, resp, "", errkind.Done)
		require.Equal(t, "half", string(resp.Body))
	})
}

// TestRefusedAfterStart guards against reporting a request that was checkpointed, or failed once, as "not run" because all later attempts
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
			req := nonRepeatableRequest("sheet")
			req.Repeatable = name == "failed"
			resp := a.Handle(t.Context(), req)
			assert.Equal(t, errkind.Unknown, resp.Outcome, name+": "+resp.Message)
		})
	}
}

// TestUrgentStartsInTime checks that urgent work starts within 3.1 s while overnight work fills the pool.
func TestUrgentStartsInTime(t *testing.T) {
	withNodes(t, 32, func(t *testing.T, a, _ *node) {
		a.backend.setRun(runsFor(time.Hour))
		for range 17 {
			req := nonRepeatableRequest("sheet")
			req.Queue, req.Repeatable, req.TimeLeft = "sheets", true, 10*time.Hour
			go a.Handle(t.Context(), req)
		}
		time.Sleep(time.Second)
		require.Equal(t, 16, a.backend.ofTestTeam(a.backend.running))
		a.backend.setRun(runsFor(0))
		req := nonRepeatableRequest("quote")
		req.TimeLeft = 3100 * time.Millisecond
		expect(t, a.Handle(t.Context(), req), "", errkind.Done)
	})
}

// TestServerRestart checks that a task on a server that has just restarted, with a reset clock, gets no lease by the clock of the earlier
// boot, with which it would outlive its holder's grant.
func TestServerRestart(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, _ *node) {
		time.Sleep(61500 * time.Millisecond)
		a.backend.restart()
		longest := time.Duration(0)
		a.backend.setRun(func(_ context.Context, task backend.Task) ([]byte, error) {
			a.backend.mu.Lock()
			defer a.backend.mu.Unlock()
			longest = max(longest, time.Duration(a.backend.leaseUntil[task.ID]-a.backend.clock())*time.Millisecond)
			return nil, nil
		})
		expect(t, a.Handle(t.Context(), nonRepeatableRequest("after the restart")), "", errkind.Done)
		require.Positive(t, longest)
		require.LessOrEqual(t, longest, a.options.Limits.TaskLease)
	})
}

// TestShutdown checks that a planned shutdown interrupts no request, and that ids which the VM did not run are reported as "not run"
// afterwards.
func TestShutdown(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		a.backend.setRun(runsFor(2 * time.Second))
		ids, err := a.IssueIDs(t.Context(), testKey, "", 2)
		require.NoError(t, err)
		req := nonRepeatableRequest("running")
		req.ID = ids[0]
		done := make(chan Response, 1)
		go func() { done <- a.Handle(t.Context(), req) }()
		time.Sleep(time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- a.Shutdown(t.Context()) }()
		time.Sleep(100 * time.Millisecond)
		expect(t, a.Handle(t.Context(), nonRepeatableRequest("refused")), errkind.ShuttingDown, errkind.NotRun)
		expect(t, <-done, "", errkind.Done)
		require.NoError(t, <-stopped)
		a.setPeersUnreachable(true)
		expect(t, b.Handle(t.Context(), req), errkind.ResultGone, errkind.Done)
		req.ID = ids[1]
		expect(t, b.Handle(t.Context(), req), errkind.ClaimClosed, errkind.NotRun)
	})
}
