package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
)

// TestWithdrawalOutlivesTheOutage guards against a withdrawal made while the log is down that is forgotten with the VM at which it was made.
func TestWithdrawalOutlivesTheOutage(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, a, b *node) {
		a.log.setCut(true, a, b)
		a.Withdraw("k1")
		time.Sleep(5 * time.Second)
		expect(t, b.Handle(t.Context(), order("")), errkind.KeyWithdrawn, errkind.Unknown)
		a.log.setCut(false, b)
		time.Sleep(5 * time.Second)
		require.True(t, b.store.Config().Keys["k1"].Withdrawn, "a peer has put the withdrawal into the log")
	})
}
