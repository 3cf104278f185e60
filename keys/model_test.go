package keys_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/fakefleet"
	"example.org/comfreyrouter/internal/testenv"
	"example.org/comfreyrouter/keys"
)

func TestMain(m *testing.M) { testenv.Main(m) }

const clockRate = 1000

// model is a fleet with keys k0, k1 and so on, and a record of when their withdrawals took effect.
type model struct {
	*fakefleet.Fleet
	pending     map[*fakefleet.VM][]string // withdrawals made at a VM's operators' interface that are not yet in a batch
	direct      map[string]bool            // withdrawals that operators wrote to the log directly
	effectiveAt map[string]time.Duration   // time at which each withdrawal took effect, by key id
	violation   string
}

func newModel(seed int64, centres []string, keyCount int) *model {
	config := fleet.NewConfig()
	config.Teams["t"] = fleet.Team{}
	for i := range keyCount {
		id := fmt.Sprintf("k%d", i)
		config.Keys[id] = fleet.Key{Team: "t", Hash: keys.Hash(id)}
	}
	return &model{
		Fleet:       fakefleet.New(rand.New(rand.NewSource(seed)), config, centres, clockRate),
		pending:     map[*fakefleet.VM][]string{},
		direct:      map[string]bool{},
		effectiveAt: map[string]time.Duration{},
	}
}

func (m *model) step() {
	m.Step()
	for _, vm := range m.VMs {
		if ids := m.pending[vm]; len(ids) > 0 && vm.Running() && vm.Submit([]fleet.Command{withdrawal(ids[0])}, nil) {
			m.pending[vm] = ids[1:]
		}
	}
	m.recordWithdrawals()
	for _, vm := range m.VMs {
		if vm.Running() {
			m.check(vm)
		}
	}
}

func withdrawal(id string) fleet.Command {
	return fleet.Command{Configure: &fleet.Configure{ID: "withdraw-" + id, Changes: []fleet.Change{{WithdrawKey: &id}}}}
}

// recordWithdrawals records when each withdrawal takes effect: when it is in the log if it was made at a VM, and when the first VM has
// read it if operators wrote it to the log directly, because VMs cannot distinguish a fleet-wide outage from a log that only operators
// can reach.
func (m *model) recordWithdrawals() {
	for id := range m.LogState.Config.Keys {
		if _, ok := m.effectiveAt[id]; ok || !m.LogState.Config.Keys[id].Withdrawn {
			continue
		}
		read := !m.direct[id]
		for _, vm := range m.VMs {
			read = read || vm.State.Config.Keys[id].Withdrawn
		}
		if read {
			m.effectiveAt[id] = m.Elapsed
		}
	}
}

// accepts reports whether a VM accepts a key now under the policy "refuse".
func accepts(vm *fakefleet.VM, id string) bool {
	withdrawn := func(id string) bool { return vm.Withdrawn[id] }
	_, err := keys.Authenticate(vm.State.Config, withdrawn, id)
	return err == nil && !vm.Now().After(vm.View().FreshUntil(vm.Now(), fakefleet.FreshnessBound))
}

func (m *model) check(vm *fakefleet.VM) {
	const maxDelay = fakefleet.FreshnessBound + fakefleet.FreshnessBound/clockRate + fakefleet.Heartbeat
	for id, at := range m.effectiveAt {
		if m.violation == "" && m.Elapsed > at+maxDelay && accepts(vm, id) {
			m.violation = fmt.Sprintf("%v: %s accepts %s, withdrawn at %v", m.Elapsed, vm.Name, id, at)
		}
	}
}

// TestWithdrawnKeyStops guards against a withdrawn key that is still accepted after the freshness bound and one heartbeat, under random
// partitions, outages and pauses and wherever it was withdrawn.
func TestWithdrawnKeyStops(t *testing.T) {
	centres := []string{"a", "a", "b", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Int64().Draw(t, "seed"), centres, 10)
		next := 0
		for range rapid.IntRange(3, 25).Draw(t, "operations") {
			vm := m.VMs[rapid.IntRange(0, len(centres)-1).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"withdraw", "direct", "cut", "platform", "isolate", "fetch", "outage", "freeze"}).Draw(t, "kind") {
			case "withdraw":
				if id := fmt.Sprintf("k%d", next); next < 10 && vm.Running() {
					vm.Withdrawn[id] = true
					m.pending[vm] = append(m.pending[vm], id)
					next++
				}
			case "direct":
				if id := fmt.Sprintf("k%d", next); next < 10 && !m.Outage {
					m.direct[id] = true
					m.Configure(withdrawal(id).Configure.Changes...)
					next++
				}
			case "cut":
				pair := [2]string{"a", rapid.SampledFrom([]string{"b", "c"}).Draw(t, "centre")}
				m.Cut[pair] = !m.Cut[pair]
			case "platform":
				vm.NoPlatform = !vm.NoPlatform
			case "isolate":
				vm.Isolated = !vm.Isolated
			case "fetch":
				vm.NoFetch = !vm.NoFetch
			case "outage":
				m.Outage = !m.Outage
			case "freeze":
				vm.Frozen = !vm.Frozen
			}
			for range rapid.SampledFrom([]int{0, 2, 20, 130}).Draw(t, "steps") {
				m.step()
			}
		}
		if m.violation != "" {
			t.Fatal(m.violation)
		}
	})
}

// TestAuthenticate guards against confusing one key with another, and against accepting a key after its withdrawal.
func TestAuthenticate(t *testing.T) {
	config := fleet.NewConfig()
	config.Keys["open"] = fleet.Key{Team: "t", Hash: keys.Hash("good")}
	config.Keys["shut"] = fleet.Key{Team: "u", Hash: keys.Hash("old"), Withdrawn: true}
	local := map[string]bool{}
	withdrawn := func(id string) bool { return local[id] }
	cases := []struct {
		key  string
		who  keys.Identity
		kind errkind.Kind
	}{
		{key: "good", who: keys.Identity{Team: "t", KeyID: "open"}},
		{key: "old", who: keys.Identity{Team: "u", KeyID: "shut"}, kind: errkind.KeyWithdrawn},
		{key: "bad", kind: errkind.KeyUnknown},
		{key: keys.Hash("good"), kind: errkind.KeyUnknown},
		{key: "", kind: errkind.KeyMissing},
	}
	for _, c := range cases {
		who, err := keys.Authenticate(config, withdrawn, c.key)
		require.Equal(t, c.who, who, c.key)
		if c.kind == "" {
			require.NoError(t, err)
		} else {
			require.Equal(t, c.kind, errkind.Of(err), c.key)
		}
	}
	local["open"] = true
	who, err := keys.Authenticate(config, withdrawn, "good")
	require.Equal(t, errkind.KeyWithdrawn, errkind.Of(err))
	require.Equal(t, "t", who.Team)
}

// BenchmarkRefusedKeys measures the share of keyed requests that is refused during ten minutes of a failure, with the same load on each
// VM. "cut_off" is the part of the fleet that is partitioned off, "rest" the other VMs. Under the policy "serve" no request is refused,
// and the same share is served on a view that is not fresh.
func BenchmarkRefusedKeys(b *testing.B) {
	three, regions := []string{"a", "a", "b", "b", "c", "c"}, []string{"a", "a", "b", "b", "c", "c", "d", "d", "e"}
	cases := []struct {
		name    string
		centres []string
		lost    map[string]bool // data centres that are partitioned from the rest and from the platform
		outage  bool
	}{
		{"outage for all", three, nil, true},
		{"cut of one data centre", three, map[string]bool{"c": true}, false},
		{"cut of a region", regions, map[string]bool{"d": true, "e": true}, false},
	}
	for _, c := range cases {
		for _, policy := range []fleet.StalePolicy{fleet.RefuseWhenStale, fleet.ServeWhenStale} {
			b.Run(c.name+"/"+string(policy), func(b *testing.B) {
				for range b.N {
					measureRefused(b, c.centres, c.lost, c.outage, policy)
				}
			})
		}
	}
}

func measureRefused(b *testing.B, centres []string, lost map[string]bool, outage bool, policy fleet.StalePolicy) {
	m := newModel(1, centres, 1)
	for range 100 {
		m.step()
	}
	m.Outage = outage
	for _, vm := range m.VMs {
		vm.NoPlatform = lost[vm.DataCentre]
		for _, other := range centres {
			m.Cut[[2]string{vm.DataCentre, other}] = lost[vm.DataCentre] != lost[other]
		}
	}
	var checked, stale [2]int // index 0: the rest; 1: the part that is cut off
	for end := m.Elapsed + 10*time.Minute; m.Elapsed < end; {
		m.step()
		for _, vm := range m.VMs {
			group := 0
			if lost[vm.DataCentre] {
				group = 1
			}
			checked[group]++
			if !accepts(vm, "k0") {
				stale[group]++
			}
		}
	}
	refused := func(group int) float64 { return 100 * float64(stale[group]) / float64(max(1, checked[group])) }
	metric := map[fleet.StalePolicy]string{fleet.RefuseWhenStale: "refused_%", fleet.ServeWhenStale: "served_stale_%"}[policy]
	b.ReportMetric(refused(0), "rest_"+metric)
	if len(lost) > 0 {
		b.ReportMetric(refused(1), "cut_off_"+metric)
		b.ReportMetric(100*float64(stale[0]+stale[1])/float64(checked[0]+checked[1]), "all_"+metric)
	}
}
