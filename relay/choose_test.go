package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// testMembers returns n equally strong members in three data centres.
func testMembers(n int) []Member {
	var all []Member
	for i := range n {
		all = append(all, Member{Name: fmt.Sprintf("node-%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Cores: 0.2})
	}
	return all
}

// chosen returns the name of the relay that is chosen for a server.
func chosen(members []Member, server, dataCentre string) string {
	m, _ := Choose(members, server, dataCentre)
	return m.Name
}

// TestRelayIsInTheDataCentreOfTheServer guards against reports that cross between data centres although a node in the server's own data centre
// could fetch them.
func TestRelayIsInTheDataCentreOfTheServer(t *testing.T) {
	all := testMembers(12)
	for i := range 200 {
		server, dataCentre := fmt.Sprintf("i-%d", i), fmt.Sprintf("dc%d", i%3)
		var local []Member
		for _, m := range all {
			if m.DataCentre == dataCentre {
				local = append(local, m)
			}
		}
		assert.Equal(t, chosen(local, server, ""), chosen(all, server, dataCentre))
	}
	assert.NotEmpty(t, chosen(all, "i-1", "elsewhere"), "any relay is better than none")
	_, found := Choose(nil, "i-1", "dc0")
	assert.False(t, found)
}

// TestLeavingRelayMovesOnlyItsServers guards against new connections to all servers whenever one node joins or leaves.
func TestLeavingRelayMovesOnlyItsServers(t *testing.T) {
	all := testMembers(12)
	for i := range 500 {
		server := fmt.Sprintf("i-%d", i)
		if before := chosen(all, server, ""); before != all[0].Name {
			assert.Equal(t, before, chosen(all[1:], server, ""))
		}
	}
}

// TestStrongRelaysGetMoreServers guards against a weak node that gets as many servers as one with four times its processors.
func TestStrongRelaysGetMoreServers(t *testing.T) {
	all := testMembers(10)
	all[0].Cores = 0.8
	counts := map[string]int{}
	const servers = 13000
	for i := range servers {
		counts[chosen(all, fmt.Sprintf("i-%d", i), "")]++
	}
	assert.InEpsilon(t, servers*4/13, counts[all[0].Name], 0.1)
	for _, m := range all[1:] {
		assert.InEpsilon(t, servers/13, counts[m.Name], 0.2, m.Name)
	}
}
