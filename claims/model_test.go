package claims_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/claims"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// The model: the holder of a claim runs an order and is paused at a random point until its lease has expired. The caller repeats the
// order at another VM with the same id. Then the holder resumes, unless it has crashed. The first of the two side effects of a run
// places the order.
const (
	trials   = 10_000
	trialRun = 600 * time.Millisecond // time from the claim to the recorded outcome
	checkGap = 5 * time.Millisecond   // time from the check of the token to the side effect that it protects
)

// protocol is a way to keep an order from being placed twice.
type protocol struct {
	name       string
	checksEach bool // the token is checked before each side effect, not only at entry
	permanent  bool // no lease: the first claim in the fold holds for ever
}

var protocols = []protocol{
	{name: "lease, checked at entry only"},
	{name: "lease with token, checked before each effect", checksEach: true},
	{name: "permanent claim", permanent: true},
}

// step is a step of a run: a check of the token, or a side effect.
type step struct {
	at    time.Duration
	first bool // the side effect that places the order
	check bool
}

// randomRun returns the steps of a run that places its order at a random time and reports it at the end.
func randomRun(rng *rand.Rand) []step {
	placedAt := time.Duration(rng.Int63n(int64(trialRun - 2*checkGap)))
	return []step{
		{at: placedAt, check: true},
		{at: placedAt + checkGap, first: true},
		{at: trialRun - checkGap, check: true},
		{at: trialRun},
	}
}

// simulate runs one trial. It returns how often the order was placed, and whether the caller is left without an outcome.
func simulate(p protocol, rng *rand.Rand, crashes bool) (placed int, unknown bool) {
	pauseAt, steps := time.Duration(rng.Int63n(int64(trialRun))), randomRun(rng)
	claim := func(bool) bool { return true }
	if p.permanent {
		claim = foldClaims()
	}
	perform := func(from, to time.Duration, current bool) {
		for _, s := range steps {
			if s.at < from || s.at >= to {
				continue
			}
			if s.check && p.checksEach && !current {
				return
			}
			if s.first {
				placed++
			}
		}
	}
	const end = time.Hour
	if claim(true) {
		perform(0, pauseAt, true)
	}
	if claim(false) { // the second VM, after the lease has expired
		perform(0, end, true)
	} else {
		unknown = crashes
	}
	if !crashes {
		perform(pauseAt, end, false)
	}
	return placed, unknown
}

// foldClaims returns a function that claims one id in the fold, for the holder or for the second VM, and reports success.
func foldClaims() func(holder bool) bool {
	s := fleet.NewState()
	id := ulid.Make().String()
	offset := uint64(0)
	return func(holder bool) bool {
		writer := map[bool]string{true: "a", false: "b"}[holder]
		offset++
		results := s.Apply(offset, fleet.Batch{Writer: writer, Seq: offset, Commands: []fleet.Command{
			{Join: &fleet.Join{VM: writer}},
			{Claim: &fleet.MakeClaim{Team: "t", RequestID: id}},
		}})
		return results[1].OK()
	}
}

// TestPausedHolder guards against placing an order twice because its holder was paused until its lease had expired. It also measures
// the alternatives to a permanent claim.
func TestPausedHolder(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		for _, p := range protocols {
			rng := rand.New(rand.NewSource(1))
			doubled, unknown := 0, 0
			for range trials {
				placed, withoutOutcome := simulate(p, rng, crashes)
				if placed > 1 {
					doubled++
				}
				if withoutOutcome {
					unknown++
				}
			}
			t.Logf("holder crashes=%-5v %-45s doubled %5d, left unknown %5d of %d", crashes, p.name, doubled, unknown, trials)
			if p.permanent {
				require.Zero(t, doubled)
			}
		}
	}
}

// BenchmarkClaimAppends compares the appends and the added delay of claims that are batched every 25 ms with one append per order.
func BenchmarkClaimAppends(b *testing.B) {
	const interval, seconds, vms = 25 * time.Millisecond, 60, 9
	for _, rate := range []float64{10, 100, 500, 2000} {
		for _, batched := range []bool{false, true} {
			b.Run(fmt.Sprintf("orders=%v/batched=%v", rate, batched), func(b *testing.B) {
				appends, orders, delay := 0, 0, time.Duration(0)
				for range b.N {
					rng := rand.New(rand.NewSource(1))
					for range vms {
						a, o, d := claimAppends(rng, rate/vms, seconds*time.Second, interval, batched)
						appends, orders, delay = appends+a, orders+o, delay+d
					}
				}
				b.ReportMetric(float64(appends)/float64(b.N*seconds), "appends/s")
				b.ReportMetric(delay.Seconds()*1000/float64(orders), "ms_wait/order")
			})
		}
	}
}

// claimAppends returns the appends, the orders and the total delay of one VM for orders at random times. When batched, the VM sends at
// most one append per interval.
func claimAppends(rng *rand.Rand, rate float64, length, interval time.Duration, batched bool) (appends, orders int, delay time.Duration) {
	var lastAppend time.Duration
	var batchAt time.Duration
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > length {
			return appends, orders, delay
		}
		orders++
		switch {
		case !batched:
			appends++
		case at <= batchAt: // joins the pending batch
			delay += batchAt - at
		default:
			batchAt = max(at, lastAppend+interval)
			lastAppend = batchAt
			appends++
			delay += batchAt - at
		}
	}
}

// TestOrdersThroughLogOutage guards against issued ids that depend on the log. It measures the share of orders that are served during
// a fleet-wide outage of the log in which one of six entry VMs crashes half-way.
func TestOrdersThroughLogOutage(t *testing.T) {
	const vms, orders = 6, 6000
	issuers := make([]*claims.Issuer, vms)
	ids := make([][]string, vms)
	for i := range issuers {
		issuers[i] = claims.NewIssuer(fmt.Sprintf("vm%d", i))
		ids[i] = issuers[i].Issue("t", orders/vms)
	}
	served := 0
	for i := range orders {
		issuer := i % vms
		if issuer == 0 && i >= orders/2 {
			continue // crashed: the id cannot be used any more, and the caller takes a new one for a new order
		}
		id, ok := claims.ParseIssued(ids[issuer][i/vms])
		require.True(t, ok)
		require.NoError(t, issuers[issuer].Begin("t", id))
		require.Equal(t, errkind.ClaimedElsewhere, errkind.Of(issuers[issuer].Begin("t", id)))
		served++
	}
	t.Logf("issued ids: %d of %d served; caller-chosen ids: 0 of %d, each needs an append", served, orders, orders)
	require.Equal(t, orders*11/12, served)
}

// TestForgottenIDIsNotReportedNotRun guards against reporting "not run" for an id that ran but was left out of the record of its
// issuer's shutdown, and against running an id that was never issued.
func TestForgottenIDIsNotReportedNotRun(t *testing.T) {
	i := claims.NewIssuer("vm")
	for range 2 {
		for _, s := range i.Issue("t", 800) {
			id, _ := claims.ParseIssued(s)
			require.NoError(t, i.Begin("t", id))
			i.Finish(id, errkind.Done)
		}
	}
	unused := i.Issue("t", 1)[0]
	require.Equal(t, errkind.RequestUnknown, errkind.Of(i.Begin("", claims.IssuedID{Incarnation: "vm", Number: 5000})))

	s := fleet.NewState()
	outcomes, floor := i.Outcomes()
	s.Apply(1, fleet.Batch{Writer: "vm", Seq: 1, Commands: []fleet.Command{
		{Join: &fleet.Join{VM: "vm"}},
		{Leave: &fleet.Leave{Issued: outcomes, IssuedFloor: floor}},
	}})
	for want, number := range map[errkind.Outcome]uint64{errkind.Unknown: 1, errkind.Done: 1600, errkind.NotRun: 1601} {
		got, ok := s.Issuers.Outcome("vm", number, claims.IssuedID{Incarnation: "vm", Number: number}.String())
		require.True(t, ok)
		require.Equal(t, want, got)
	}
	require.Equal(t, "i-vm-1601", unused)
}
