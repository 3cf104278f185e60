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

func always(time.Duration) float64 { return 1 }

// bursts returns a rate that is the peak for the first 4 of every 20 s, and a hundredth of it, a twentieth of the mean, in between.
func bursts(offset time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if (now+20*time.Second-offset)%(20*time.Second) < 4*time.Second {
			return 1
		}
		return 0.01
	}
}

func p(q float64, d []time.Duration) float64 {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

func random(servers []routing.Server, _ string, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	return pick(servers, exclude, func(a, b int) bool { return rnd.IntN(2) == 0 }, rnd)
}

func least(servers []routing.Server, _ string, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	return pick(servers, exclude, func(a, b int) bool {
		return servers[a].LocalTasks+servers[a].RemoteTasks < servers[b].LocalTasks+servers[b].RemoteTasks
	}, rnd)
}

// affinity prefers servers by the entry VM's own order; here by a hash of its data centre and the server's name.
func affinity(servers []routing.Server, centre string, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	rank := func(i int) uint64 { return xx(centre + servers[i].Name) }
	return pick(servers, exclude, func(a, b int) bool {
		if servers[a].Free() != servers[b].Free() && (servers[a].Free() < 3 || servers[b].Free() < 3) {
			return servers[a].Free() > servers[b].Free()
		}
		return rank(a) < rank(b)
	}, rnd)
}

func xx(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func pick(servers []routing.Server, exclude map[string]bool, less func(a, b int) bool, rnd *rand.Rand) (int, bool) {
	best, ok := 0, false
	for _, i := range rnd.Perm(len(servers)) {
		s := servers[i]
		if !s.Ejected && !exclude[s.Name] && s.Free() > 0 && (!ok || less(i, best)) {
			best, ok = i, true
		}
	}
	return best, ok
}

func report(b *testing.B, m *model) {
	n := float64(m.requests)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(p(0.5, m.delays[fleet.Urgent]), "p50-ms")
	b.ReportMetric(p(0.99, m.delays[fleet.Urgent]), "p99-ms")
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
		{"random-local", scenario{choose: random, localView: true}},
		{"least-local", scenario{choose: least, localView: true}},
		{"p2-local", scenario{choose: routing.Choose, localView: true}},
		{"least-remote", scenario{choose: least}},
		{"p2-remote", scenario{choose: routing.Choose}},
		{"p2-remote-marks250", scenario{choose: routing.Choose, hold: heartbeat}},
		{"least-remote-marks-probe", scenario{choose: least, hold: hold, probe: probe}},
		{"affinity-marks-probe", scenario{choose: affinity, hold: hold, probe: probe}},
		{"p2-remote-marks-probe", scenario{choose: routing.Choose, hold: hold, probe: probe}},
		{"p2-remote-marks-probe-no-ejection", scenario{choose: routing.Choose, hold: hold, probe: probe, noHealth: true}},
	}
	loads := []struct {
		name string
		bad  int
		rate func(time.Duration) float64
		peak float64
	}{
		{"steady80", 0, always, 320},
		{"burst5x", 0, bursts(2 * time.Second), 800},
		{"bad1of10", 1, always, 240},
		{"bad5of10", 5, always, 120},
		{"bad10of10", 10, always, 120},
		{"poison5%", 0, always, 240},
	}
	for _, l := range loads {
		for _, pol := range policies {
			b.Run(fmt.Sprintf("%s/%s", l.name, pol.name), func(b *testing.B) {
				s := pol.s
				s.vms, s.servers, s.bad, s.end, s.budget, s.noAllot = 7, 10, l.bad, 62*time.Second, 10, true
				s.teams = []team{{name: "t", share: 1, class: fleet.Urgent, run: 200 * time.Millisecond, deadline: 5 * time.Second, peak: l.peak, rate: l.rate}}
				if l.name == "poison5%" {
					s.poison = 0.05
				}
				for range b.N {
					m := newModel(s, 1).run()
					report(b, m)
					b.ReportMetric(float64(m.ejections), "most-ejected")
				}
			})
		}
	}
}
