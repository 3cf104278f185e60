package dispatch

import (
	"testing"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// FuzzTakeover guards against a ledger record that crashes every node that takes over as dispatcher, one after another.
func FuzzTakeover(f *testing.F) {
	const job = `{"id":"a","q":"q","sv":"pool","ws":"w","at":1,"sp":{"x":"","s":[{"n":2,"r":{"c":1}},{"n":1,"r":{},"a":[0]}]}}`
	f.Add([]byte(job), []byte(`{"m":true,"o":[{"k":0,"s":[{"d":[0,-1,99],"f":{"-1":{"a":[1]},"7":{"a":null}}},{},{"d":[1]}]}]}`), []byte(`{"s":"pool","a":"x"}`))
	f.Add([]byte(`{"id":"a","sp":{"s":[{"n":1,"a":[5]}]}}`), []byte(`{"o":[{"k":-7,"d":true},{"k":2147483647}]}`), []byte(`null`))
	f.Add([]byte(`{"id":"b","sp":{"rp":3,"fm":-1,"ev":0,"s":[{"n":3,"lr":true,"mb":-5,"mx":-1}]}}`), []byte(`{}`), []byte(`{"b":-1}`))
	f.Add([]byte(`{"id":"c","sl":-1e308,"tl":-9223372036854775808,"sp":{"s":[{"n":1,"e":9223372036854775807}]}}`), []byte(`[]`), []byte(`7`))
	f.Fuzz(func(_ *testing.T, submission, progress, server []byte) {
		l := ledger.New()
		for key, value := range map[string][]byte{"j/a": submission, "p/a": progress, "s/i": server, "o": progress, "n/x": server, "w/1": progress, "m/m": server} {
			_, _, _ = l.Apply(ledger.Record{Key: key, Value: value}, 1) // unreadable records are skipped
		}
		config := &jobs.Configuration{Routes: []jobs.Route{{Name: "q", Service: "pool"}}}
		c := New(Params{Epoch: 1, Lease: time.Second}, l, config, time.Second, 1000)
		c.ServerListed(jobs.Server{ID: "i", Service: "pool", Ready: true, BornMS: 1, Capacity: jobs.Resources{CPU: 10}})
		c.ReportReceived(Renewal{Server: jobs.Server{ID: "i"}}, time.Second, jobs.Report{ClockMS: 1, BornMS: 1, Active: []jobs.RunState{{Task: "a.0.0.0", Attempt: 1}, {Task: "a.-1.0.0"}}})
		for i := range 3 {
			c.Advance(time.Duration(2+i)*time.Second, 2000, true)
			c.Schedule()
			c.BatchStored(c.TakeBatch())
			c.Demands()
			c.updateLoads()
			c.Counts()
		}
	})
}
