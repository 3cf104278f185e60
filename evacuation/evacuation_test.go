package evacuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRequests guards against a request that has no effect, or one that stays in force, whatever order the operators' requests come in.
func TestRequests(t *testing.T) {
	var none State
	both := none.Request("a").Request("b").Request("a")
	assert.Equal(t, []string{"a", "b"}, both.DataCentres())
	assert.False(t, none.Evacuated("a"), "a state that is in use doesn't change")
	assert.True(t, both.Evacuated("a") && both.Evacuated("b"))
	assert.False(t, both.Evacuated("c"))
	assert.True(t, both.Evacuated(""), "its data centre isn't known, so it may be one of them")
	assert.False(t, none.Evacuated(""))
	assert.Equal(t, []string{"b"}, both.Withdraw("a", 0).DataCentres())
	assert.Equal(t, []string{"c"}, both.Replace([]string{"c"}, 0).DataCentres(), "the withdrawal of a and b wasn't read")
	again := both.Withdraw("a", time.Second).Request("a")
	assert.True(t, again.Withheld("a", "s", 0, time.Hour))
}

// TestServersReturnByDegrees guards against a data centre that gets its full load at the moment at which it is taken back with cold servers.
func TestServersReturnByDegrees(t *testing.T) {
	withheld := func(s State, warmUp, now time.Duration) int {
		n := 0
		for i := range 100 {
			if s.Withheld("a", fmt.Sprintf("i-%x", i*7919), warmUp, now) {
				n++
			}
		}
		return n
	}
	s := State{}.Request("a").Withdraw("a", time.Minute)
	assert.Greater(t, withheld(s, 0, time.Minute), 90)
	assert.InDelta(t, 50, withheld(s, 0, time.Minute+minReturnPeriod/2), 20)
	assert.Zero(t, withheld(s, 0, time.Minute+minReturnPeriod))
	assert.InDelta(t, 50, withheld(s, 8*time.Second, time.Minute+4*time.Second), 20, "they say that they stay slow for longer")
	assert.Zero(t, withheld(s, time.Hour, time.Minute+maxReturnPeriod))
	assert.Equal(t, s, s.Withdraw("a", time.Hour), "withdrawn twice")
	assert.Zero(t, withheld(State{}.Withdraw("a", time.Minute), 0, time.Minute), "never evacuated")
}

// TestOutdatedViewsAllowNoStart guards against a start after the bound by a node that hasn't read of the request, and against nodes that start nothing
// although their view is recent, or no bound was agreed.
func TestOutdatedViewsAllowNoStart(t *testing.T) {
	const bound = Bound(5 * time.Second)
	v := View{State: State{}.Request("a"), ConfirmedAt: time.Minute}
	assert.Equal(t, DataCentreEvacuated, bound.Decide(v, "a", time.Minute))
	assert.Equal(t, MayStart, bound.Decide(v, "b", time.Minute+3900*time.Millisecond))
	assert.Equal(t, ViewOutdated, bound.Decide(v, "b", time.Minute+4*time.Second))
	assert.Equal(t, MayStart, Bound(0).Decide(v, "b", time.Hour))
	assert.Equal(t, DataCentreEvacuated, Bound(0).Decide(v, "a", time.Hour))
	for _, b := range []Bound{Bound(400 * time.Millisecond), Bound(time.Second), bound} {
		assert.LessOrEqual(t, 2*b.ReadWait(900*time.Millisecond), b.MaxAge(), "a view must not be outdated before the next read ends")
	}
	assert.Equal(t, time.Hour, Bound(0).ReadWait(time.Hour))
}
