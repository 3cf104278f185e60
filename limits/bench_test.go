package limits_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/limits"
)

const (
	benchLimit        = 36 // limit of each team; divisible by 6 and 9 for the static division
	benchDuration     = 120 * time.Second
	benchTaskTime     = 250 * time.Millisecond // mean run time of a task, which keeps its place until it ends
	benchMoveInterval = 20 * time.Second       // interval at which the demand of each team moves to another data centre
)

// BenchmarkDivision compares grants with a static division of each limit among the entry VMs under the same demand: each team
// has more demand than its limit in one data centre at a time.
func BenchmarkDivision(b *testing.B) {
	for _, vms := range []int{6, 9} {
		for _, teams := range []int{6, 62} {
			for _, static := range []bool{true, false} {
				name := fmt.Sprintf("vms=%d/teams=%d/division=%s", vms, teams, map[bool]string{true: "static", false: "grants"}[static])
				b.Run(name, func(b *testing.B) {
					for range b.N {
						runDivision(b, vms, teams, static)
					}
				})
			}
		}
	}
}

func runDivision(b *testing.B, vms, teams int, static bool) {
	dataCentres := make([]string, vms)
	for i := range dataCentres {
		dataCentres[i] = string(rune('a' + i%3))
	}
	team := fleet.Team{Limit: benchLimit}
	if static {
		team.FirmPerEntryVM = benchLimit / vms
	}
	declared := map[string]fleet.Team{}
	for i := range teams {
		declared[fmt.Sprintf("t%02d", i)] = team
	}
	m := newModel(1, dataCentres, declared, limits.DefaultOptions())
	m.workTime = benchTaskTime
	m.run(2 * time.Second)
	at, rng := map[string]int{}, rand.New(rand.NewSource(2))
	servedAt, moves, served, serveTime := map[string]time.Duration{}, 0, 0, time.Duration(0)
	var unused, wanted int
	appends, start, nextMove := m.Appends, m.Elapsed, m.Elapsed
	for m.Elapsed < start+benchDuration {
		if m.Elapsed >= nextMove {
			nextMove += benchMoveInterval
			for _, name := range slices.Sorted(maps.Keys(declared)) {
				at[name], servedAt[name] = (at[name]+1+rng.Intn(2))%3, 0
				moves++
				m.moveDemand(name, at[name])
			}
		}
		m.step()
		for name := range declared {
			held := m.allowedAt(name, at[name])
			unused += benchLimit - held
			wanted += benchLimit
			if servedAt[name] == 0 && held >= benchLimit {
				servedAt[name] = m.Elapsed
				served++
				serveTime += m.Elapsed - (nextMove - benchMoveInterval)
			}
		}
	}
	if len(m.violations) > 0 {
		b.Fatal(m.violations)
	}
	b.ReportMetric(100*float64(unused)/float64(wanted), "unused_%")
	b.ReportMetric(100*float64(served)/float64(moves), "moves_served_%")
	if served > 0 {
		b.ReportMetric(serveTime.Seconds()/float64(served), "s_to_serve")
	}
	b.ReportMetric(float64(m.Appends-appends)/benchDuration.Seconds(), "appends/s")
}

// moveDemand moves a team's demand, twice its limit, to the VMs of one data centre.
func (m *model) moveDemand(team string, dataCentre int) {
	for i, n := range m.nodes {
		n.demand[team] = 0
		if i%3 == dataCentre {
			n.demand[team] = 2 * benchLimit / (len(m.nodes) / 3)
		}
	}
}

// allowedAt returns how many of a team's tasks the VMs of a data centre may run.
func (m *model) allowedAt(team string, dataCentre int) int {
	held := 0
	for i, n := range m.nodes {
		if i%3 == dataCentre {
			held += n.holder.Allowed(team, n.vm.Now())
		}
	}
	return held
}
