package routing_test

import (
	"fmt"
	"testing"
	"time"

	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/routing"
)

const fairSlots = 80

// fairTeams returns n teams that each offer 1.5 times the sum of their share and an equal part of the pool. If wrong is set, every
// third team's tasks run 10 times as long. If skewed is set, all requests of a team come to one entry VM.
func fairTeams(n int, wrong, skewed bool, rate func(i int) func(time.Duration) float64, peak float64) []team {
	teams := make([]team, n)
	sum := 0
	for i := range teams {
		teams[i] = team{name: fmt.Sprintf("team-%02d", i), share: 1 + i*i%7*3, class: fleet.Urgent, run: 300 * time.Millisecond, maxWait: 60, rate: rate(i)}
		sum += teams[i].share
	}
	for i := range teams {
		t := &teams[i]
		if wrong && i%3 == 0 {
			t.run *= 10
		}
		if skewed {
			t.entry = i + 1
		}
		slots := 1.5 * (float64(t.share)/float64(sum) + 1/float64(n)) * fairSlots
		t.peakRate = peak * slots / t.run.Seconds()
	}
	return teams
}

func constantRates(int) func(time.Duration) float64 { return constantRate }

var fairPolicies = []struct {
	name string
	s    scenario
}{
	{"fifo", scenario{fifo: true, noAllotment: true}},
	{"alone", scenario{perVMShares: true, noAllotment: true, noDecay: true}},
	{"running", scenario{noAllotment: true, noDecay: true}},
	{"usage+allot", scenario{noEntitlements: true}},
	{"excess", scenario{noAllotment: true}},
	{"excess+allot", scenario{}},
}

func BenchmarkFairShares(b *testing.B) {
	for _, n := range []int{6, 62} {
		staggeredBursts := func(i int) func(time.Duration) float64 {
			return burstRate(time.Duration(i) * 20 * time.Second / time.Duration(n))
		}
		loads := []struct {
			name string
			s    scenario
		}{
			{"full", scenario{teams: fairTeams(n, false, false, constantRates, 1)}},
			{"skewed", scenario{teams: fairTeams(n, false, true, constantRates, 1)}},
			{"burst", scenario{teams: fairTeams(n, false, false, staggeredBursts, 5)}},
			{"replaced", scenario{teams: fairTeams(n, false, false, constantRates, 1), replace: []time.Duration{30 * time.Second, 40 * time.Second, 50 * time.Second}}},
			{"wrong10x", scenario{teams: fairTeams(n, true, false, constantRates, 1)}},
		}
		for _, l := range loads {
			for _, pol := range fairPolicies {
				b.Run(fmt.Sprintf("%d/%s/%s", n, l.name, pol.name), func(b *testing.B) {
					s := pol.s
					s.teams, s.replace = l.s.teams, l.s.replace
					runFairShares(b, s)
				})
			}
		}
	}
}

func withDefaults(s scenario) scenario {
	s.vms, s.servers, s.budget = 7, fairSlots/slotsPerServer, 10
	s.choose, s.fullMark, s.probeInterval = routing.Choose, routing.FullMarkDuration, routing.MinProbeInterval
	return s
}

func runFairShares(b *testing.B, s scenario) {
	s = withDefaults(s)
	s.warm, s.end = 15*time.Second, 57*time.Second
	for range b.N {
		m := newModel(s, 1).run()
		mean, largest := m.shareDeviation()
		used := 0.0
		for _, u := range m.used {
			used += u
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(100*mean, "mean-%")
		b.ReportMetric(100*largest, "largest-%")
		b.ReportMetric(100*used/(fairSlots*(s.end-s.warm).Seconds()), "used-%")
		b.ReportMetric(float64(m.refusals)/float64(m.started), "refusals/req")
	}
}

// urgentScenario returns s with overnight tasks of 30 s on average that fill the pool, and bursts of urgent requests.
func urgentScenario(s scenario) scenario {
	s = withDefaults(s)
	s.end = 100 * time.Second
	s.teams = []team{
		{name: "night", share: 1, class: fleet.Overnight, run: 30 * time.Second, peakRate: 20, rate: constantRate, maxWait: 20},
		{name: "counter", share: 1, class: fleet.Urgent, run: 200 * time.Millisecond, peakRate: 150, rate: burstRate(15 * time.Second)},
	}
	return s
}

// BenchmarkUrgent compares ways to make room for urgent requests in urgentScenario.
func BenchmarkUrgent(b *testing.B) {
	for _, c := range []struct {
		name string
		s    scenario
	}{
		{"priority-only", scenario{}},
		{"reserve10", scenario{reserve: 10}},
		{"preempt", scenario{preempt: true}},
		{"reserve10+preempt", scenario{reserve: 10, preempt: true}},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := urgentScenario(c.s)
			for range b.N {
				m := newModel(s, 1).run()
				reportMetrics(b, m)
				b.ReportMetric(percentileMillis(1, m.delays[fleet.Urgent]), "max-ms")
				b.ReportMetric(float64(m.checkpoints), "checkpoints")
				b.ReportMetric(100*m.used["night"]/(fairSlots*s.end.Seconds()), "night-%")
			}
		})
	}
}

// BenchmarkLent measures how much of an idle team's share the others use, and how soon it gets its slots back: the team has half of
// the shares and sends its first request after 30 s.
func BenchmarkLent(b *testing.B) {
	for _, pol := range fairPolicies {
		b.Run(pol.name, func(b *testing.B) {
			s := withDefaults(pol.s)
			s.end = 60 * time.Second
			s.teams = fairTeams(6, false, false, constantRates, 1)
			sum := 0
			for _, t := range s.teams[1:] {
				sum += t.share
			}
			s.teams[0].share = sum
			s.teams[0].peakRate = 400
			s.teams[0].rate = func(now time.Duration) float64 {
				if now < 30*time.Second {
					return 0
				}
				return 1
			}
			for range b.N {
				m, lent, back := newModel(s, 1), 0.0, time.Duration(0)
				m.onSample = func(now time.Duration) {
					if now >= 20*time.Second && now < 30*time.Second {
						lent += m.busySlots() / 200
					}
					if back == 0 && now > 30*time.Second && m.held[s.teams[0].name] >= 0.9*fairSlots/2 {
						back = now - 30*time.Second
					}
				}
				m.run()
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*lent/fairSlots, "lent-used-%")
				b.ReportMetric(float64(back.Milliseconds()), "back-ms")
			}
		})
	}
}

// BenchmarkAdmission compares runs with and without admission control under bursts above the capacity of the pool and a deadline of 2 s.
func BenchmarkAdmission(b *testing.B) {
	for _, declared := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 4 * time.Second} {
		for _, admit := range []bool{false, true} {
			b.Run(fmt.Sprintf("declared=%v/admission=%v", declared, admit), func(b *testing.B) {
				s := withDefaults(scenario{admit: admit})
				s.end = 62 * time.Second
				s.teams = []team{{
					name: "t", share: 1, class: fleet.Urgent, run: 200 * time.Millisecond, declared: declared,
					deadline: 2 * time.Second, peakRate: 800, rate: burstRate(2 * time.Second),
				}}
				for range b.N {
					m := newModel(s, 1).run()
					reportMetrics(b, m)
					b.ReportMetric(100*float64(m.late)/float64(m.requests), "late-%")
					b.ReportMetric(100*float64(m.done-m.late)/float64(m.requests), "in-time-%")
				}
			})
		}
	}
}
