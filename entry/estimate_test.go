package entry

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/errkind"
)

// TestFreeSlotIsTried guards against refusing every request of a queue because some of its tasks ran long on a faulty server (found by
// internal/fleettest, seed 201): with a free slot only what no recent task could have met is hopeless.
func TestFreeSlotIsTried(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, _ *node) {
		for i := range 10 {
			a.backend.setRun(takes(10 * time.Millisecond))
			if i%2 == 0 {
				a.backend.setRun(takes(5 * time.Second))
			}
			req := Request{Queue: "quotes", Key: testKey, ID: ulid.Make().String(), TimeLeft: time.Minute, Repeatable: true}
			expect(t, a.Handle(t.Context(), req), "", errkind.Done)
		}
		a.backend.setRun(takes(10 * time.Millisecond))
		req := Request{Queue: "quotes", Key: testKey, ID: ulid.Make().String(), TimeLeft: time.Second, Repeatable: true}
		expect(t, a.Handle(t.Context(), req), "", errkind.Done)
	})
}
