package entry

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/errkind"
)

// TestFreeSlotAdmitsDespiteSlowTasks guards against refusing every request of a queue because some of its tasks ran long on a faulty server
// (found by internal/fleettest, seed 201). With a free slot, a request is refused only if no recent task would have met its deadline.
func TestFreeSlotAdmitsDespiteSlowTasks(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, _ *node) {
		for i := range 10 {
			a.backend.setRun(runsFor(10 * time.Millisecond))
			if i%2 == 0 {
				a.backend.setRun(runsFor(5 * time.Second))
			}
			req := Request{Queue: "quotes", Key: testKey, ID: ulid.Make().String(), TimeLeft: time.Minute, Repeatable: true}
			expect(t, a.Handle(t.Context(), req), "", errkind.Done)
		}
		a.backend.setRun(runsFor(10 * time.Millisecond))
		req := Request{Queue: "quotes", Key: testKey, ID: ulid.Make().String(), TimeLeft: time.Second, Repeatable: true}
		expect(t, a.Handle(t.Context(), req), "", errkind.Done)
	})
}
