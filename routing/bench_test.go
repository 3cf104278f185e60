package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/routing"
)

// constantRate is a rate that is always at its peak.
func constantRate(time.Duration) float64 { return 1 }

// burstRate returns a rate that is at its peak for 4 s out of every 20 s, first at offset, and otherwise at a hundredth of the peak,
// about a twentieth of the mean.
func burstRate(offset time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if (now+20*time.Second-offset)%(20*time.Second) < 4*time.Second {
			return 1
		}
		return 0.01
	}
}

// percentileMillis returns the quantile q of the durations in milliseconds.
func percentileMillis(q float64, d []time.Duration) float64 {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

func chooseRandom(servers []routing.Server, _ string, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	return chooseBest(servers, exclude, func(a, b int) bool { return rnd.IntN(2) == 0 }, rnd)
}

func chooseLeastLoaded(servers []routing.Server, _ string, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	return chooseBest(servers, exclude, func(a, b int) bool {
		return servers[a].LocalTasks+servers[a].RemoteTasks < servers[b].LocalTasks+servers[b].RemoteTasks
	}, rnd)
}

// chooseByAffinity prefers servers in a fixed order of the entry VM, a hash of its data centre and the server's name, unless one of
// them has fewer than 3 free slots.
func chooseByAffinity(servers []routing.Server, dataCentre string, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	rank := func(i int) uint64 { return fnv1a(dataCentre + servers[i].Name) }
	return chooseBest(servers, exclude, func(a, b int) bool {
		if servers[a].Free() != servers[b].Free() && (servers[a].Free() < 3 || servers[b].Free() < 3) {
			return servers[a].Free() > servers[b].Free()
		}
		return rank(a) < rank(b)
	}, rnd)
}

// fnv1a returns the 64-bit FNV-1a hash of s.
func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// chooseBest returns the first usable server by less, with ties in random order.
func chooseBest(servers []routing.Server, exclude map[string]bool, less func(a, b int) bool, rnd *rand.Rand) (int, bool) {
	best, ok := 0, false
	for _, i := range rnd.Perm(len(servers)) {
		s := servers[i]
		if !s.Ejected && !exclude[s.Name] && s.Free() > 0 && (!ok || less(i, best)) {
			best, ok = i, true
		}
	}
	return best, ok
}

func reportMetrics(b *testing.B, m *model) {
	n := float64(m.requests)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(percentileMillis(0.5, m.delays[fleet.Urgent]), "p50-ms")
	b.ReportMetric(percentileMillis(0.99, m.delays[fleet.Urgent]), "p99-ms")
	b.ReportMetric(100*float64(m.refused)/n, "refused-%")
	b.ReportMetric(float64(m.refusals)/n, "refusals/req")
	b.ReportMetric(float64(m.retries)/n, "retries/req")
	b.ReportMetric(100*float64(m.failed)/n, "failed-%")
}

func BenchmarkChoose(b *testing.B) {
	const hold, probe = routing.FullMarkDuration, routing.MinProbeInterval
	policies := []struct {
		name string
		s    scenario
	}{
		{"random-local", scenario{choose: chooseRandom, localView: true}},
		{"least-local", scenario{choose: chooseLeastLoaded, localView: true}},
		{"p2-local", scenario{choose: routing.Choose, localView: true}},
		{"least-remote", scenario{choose: chooseLeastLoaded}},
		{"p2-remote", scenario{choose: routing.Choose}},
		{"p2-remote-marks250", scenario{choose: routing.Choose, fullMark: heartbeat}},
		{"least-remote-marks-probe", scenario{choose: chooseLeastLoaded, fullMark: hold, probeInterval: probe}},
		{"affinity-marks-probe", scenario{choose: chooseByAffinity, fullMark: hold, probeInterval: probe}},
		{"p2-remote-marks-probe", scenario{choose: routing.Choose, fullMark: hold, probeInterval: probe}},
		{"p2-remote-marks-probe-no-ejection", scenario{choose: routing.Choose, fullMark: hold, probeInterval: probe, noHealth: true}},
	}
	loads := []struct {
		name string
		bad  int
		rate func(time.Duration) float64
		peak float64
	}{
		{"steady80", 0, constantRate, 320},
		{"burst5x", 0, burstRate(2 * time.Second), 800},
		{"bad1of10", 1, constantRate, 240},
		{"bad5of10", 5, constantRate, 120},
		{"bad10of10", 10, constantRate, 120},
		{"poison5%", 0, constantRate, 240},
	}
	for _, l := range loads {
		for _, pol := range policies {
			b.Run(fmt.Sprintf("%s/%s", l.name, pol.name), func(b *testing.B) {
				s := pol.s
				s.vms, s.servers, s.badServers, s.end, s.budget, s.noAllotment = 7, 10, l.bad, 62*time.Second, 10, true
				s.teams = []team{{name: "t", share: 1, class: fleet.Urgent, run: 200 * time.Millisecond, deadline: 5 * time.Second, peakRate: l.peak, rate: l.rate}}
				if l.name == "poison5%" {
					s.poisonFraction = 0.05
				}
				for range b.N {
					m := newModel(s, 1).run()
					reportMetrics(b, m)
					b.ReportMetric(float64(m.ejections), "most-ejected")
				}
			})
		}
	}
}
