package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/fleet"
)

// sendRequests starts count repeatable requests to a queue without waiting for their responses.
func (n *node) sendRequests(ctx context.Context, queue string, count int) {
	for range count {
		req := Request{Queue: queue, Key: testKey, ID: ulid.Make().String(), TimeLeft: 10 * time.Hour, Repeatable: true}
		go n.Handle(ctx, req)
	}
	time.Sleep(time.Second)
}

// addressesOfStarts returns the server addresses of all starts, in order.
func (b *fakeBackend) addressesOfStarts() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.startAddresses)
}

// TestSparePoolLendsToUrgentWorkOnly guards against refusing urgent work of a full pool while the spare pool has free slots, against
// lending to overnight work, and against lending the reserve.
func TestSparePoolLendsToUrgentWorkOnly(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, _ *node) {
		inForce := "day"
		a.log.configure(1,
			fleet.Change{Pool: &fleet.Object[fleet.Pool]{Name: "office", Value: &fleet.Pool{Spare: true}}},
			fleet.Change{Server: &fleet.Object[fleet.BackendServer]{Name: "s3", Value: &fleet.BackendServer{
				Address: serverAddress("s3"), DataCentre: "a", Rack: "r", Pool: "office", Slots: 8, Connections: 64,
			}}},
			fleet.Change{Preset: &fleet.Object[fleet.Preset]{Name: inForce, Value: &fleet.Preset{ReservePercent: 25}}},
			fleet.Change{InForce: &inForce})
		time.Sleep(10 * time.Second)
		a.backend.setRun(runsFor(time.Hour))
		a.sendRequests(t.Context(), "sheets", 20)
		require.Equal(t, 12, a.backend.ofTestTeam(a.backend.running), "overnight work leaves the reserve of its own pool free and borrows nothing")
		a.sendRequests(t.Context(), "quotes", 30)
		onSpare := 0
		for _, address := range a.backend.addressesOfStarts() {
			if address == serverAddress("s3") {
				onSpare++
			}
		}
		require.Equal(t, 6, onSpare, "two of the spare pool's eight slots are its reserve")
	})
}

// TestDrainCheckpointsOvernightWork guards against a drain that waits for an overnight task, and against losing the task's progress.
func TestDrainCheckpointsOvernightWork(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, _ *node) {
		a.backend.setRun(func(ctx context.Context, task backend.Task) ([]byte, error) {
			if task.Resume {
				return task.Body, nil
			}
			<-ctx.Done()
			return nil, &backend.Checkpoint{State: []byte("half")}
		})
		done := make(chan Response, 1)
		go func() {
			req := nonRepeatableRequest("sheet")
			req.Queue, req.TimeLeft = "sheets", time.Hour
			done <- a.Handle(t.Context(), req)
		}()
		time.Sleep(time.Second)
		from := serverName(a.backend.addressesOfStarts()[0])
		inForce := "maintenance"
		a.log.configure(1,
			fleet.Change{Preset: &fleet.Object[fleet.Preset]{Name: inForce, Value: &fleet.Preset{Maintenance: true, MaxDrains: 1}}},
			fleet.Change{InForce: &inForce})
		var epoch uint64
		a.store.View(func(s *fleet.State) { epoch = s.VMs[from].Epoch })
		results, err := a.Submit(t.Context(), fleet.Command{Drain: &fleet.StartDrain{VM: from, Epoch: epoch}})
		require.NoError(t, err)
		require.NoError(t, results[0].Err())
		resp := <-done
		expect(t, resp, "", "done")
		require.Equal(t, "half", string(resp.Body))
		require.NotEqual(t, from, serverName(a.backend.addressesOfStarts()[1]))
	})
}
