package dispatch

import (
	"fmt"
	"testing"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// overloaded returns a core with four pools of equal size, one of which is full and has waiting jobs, as during a demand peak.
func overloaded(waiting, poolServers int) (*Core, time.Duration) {
	config := &jobs.Configuration{Version: 1, Services: map[string]jobs.Service{}, Workspaces: []jobs.Workspace{{Name: "w", Weight: 1000}}}
	for p := range 4 {
		pool := fmt.Sprintf("pool%d", p)
		config.Services[pool] = jobs.Service{Name: pool}
		config.Routes = append(config.Routes, jobs.Route{Name: "q" + pool, Service: pool})
	}
	for i := range 110 {
		config.Routes = append(config.Routes, jobs.Route{Name: fmt.Sprintf("idle%d", i), Service: "pool0"})
	}
	now := time.Minute
	c := New(Params{Epoch: 1, Lease: testLease, PredecessorsUntil: now}, ledger.New(), config, now, now.Milliseconds())
	c.Advance(now, now.Milliseconds(), true)
	for i := range 4 * poolServers {
		id := fmt.Sprintf("i-%08d", i)
		c.ServerListed(jobs.Server{
			ID: id, Service: fmt.Sprintf("pool%d", i%4), Address: id, Machine: "m" + id, Ready: true, BornMS: 1, Labels: []string{"a", "r1"},
			Capacity: jobs.Resources{CPU: 64000, MemoryMB: 131072},
		})
		c.ReportReceived(Renewal{Server: jobs.Server{ID: id}}, now, jobs.Report{ClockMS: 1000, BornMS: 1})
	}
	c.BatchStored(c.TakeBatch())
	for i := range waiting {
		steps := []jobs.Step{
			{Count: 8, Need: jobs.Resources{CPU: 6200, MemoryMB: 9000}, EstimateMS: 1000},
			{Count: 8, Need: jobs.Resources{CPU: 6200, MemoryMB: 9000}, EstimateMS: 1000, After: []int{0}},
		}
		c.AddJob(&ledger.Entry{Submission: &jobs.Submission{
			ID: fmt.Sprintf("%016x", i), Route: "qpool0", Service: "pool0", Workspace: "w", MaxAttempts: 3, SlackFactor: 1.6, TargetMS: 600,
			ReceivedMS: now.Milliseconds(), Spec: jobs.Spec{Steps: steps},
		}})
	}
	for range 20 + waiting/maxMarkedWaiting {
		c.Schedule()
		c.BatchStored(c.TakeBatch())
		for _, o := range c.TakeOrders() {
			c.StartAnswered(o.Server, o.Start.Task.String(), o.Start.Attempt, jobs.Started)
		}
	}
	return c, now
}

// BenchmarkScheduleOverload measures a pass over jobs for which there is no capacity. During a demand peak this happens up to a hundred times per
// second.
func BenchmarkScheduleOverload(b *testing.B) {
	for _, size := range []struct{ waiting, poolServers int }{{100, 75}, {500, 75}, {1500, 75}, {1500, 600}} {
		b.Run(fmt.Sprintf("%d jobs, %d servers", size.waiting, size.poolServers), func(b *testing.B) {
			c, now := overloaded(size.waiting, size.poolServers)
			b.ReportAllocs()
			for b.Loop() {
				c.Advance(now, now.Milliseconds(), true)
				c.Schedule()
			}
		})
	}
}

// BenchmarkDemands measures the computation of the services' demand.
func BenchmarkDemands(b *testing.B) {
	c, _ := overloaded(500, 75)
	b.ReportAllocs()
	for b.Loop() {
		c.Demands()
	}
}

// BenchmarkReport measures the handling of a report of a server with ten runs.
func BenchmarkReport(b *testing.B) {
	c, now := overloaded(500, 75)
	var report jobs.Report
	for key, r := range c.servers["i-00000000"].runs {
		report.Active = append(report.Active, jobs.RunState{Task: key, Attempt: r.attempt, Percent: 50})
	}
	report.ClockMS, report.BornMS = 1000, 1
	b.ReportAllocs()
	for b.Loop() {
		c.ReportReceived(Renewal{Server: jobs.Server{ID: "i-00000000"}}, now, report)
	}
}

// BenchmarkServerListed measures the handling of an entry of the server list. Each server writes one every few seconds, and a new dispatcher reads all.
func BenchmarkServerListed(b *testing.B) {
	c, _ := overloaded(0, 275)
	entry := c.servers["i-00000000"].info
	b.ReportAllocs()
	for b.Loop() {
		c.ServerListed(entry)
	}
}
