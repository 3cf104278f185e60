package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
)

// TestWithdrawalSurvivesLogOutage guards against losing a withdrawal that was made during a log outage if the VM on which it was made does
// not return.
func TestWithdrawalSurvivesLogOutage(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		a.log.setUnreachable(true, a, b)
		a.Withdraw("k1")
		time.Sleep(5 * time.Second)
		expect(t, b.Handle(t.Context(), nonRepeatableRequest("")), errkind.KeyWithdrawn, errkind.Unknown)
		a.log.setUnreachable(false, b)
		time.Sleep(5 * time.Second)
		require.True(t, b.store.Config().Keys["k1"].Withdrawn, "a peer has submitted the withdrawal to the log")
	})
}
