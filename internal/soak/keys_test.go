package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// revokeTime is how long after its withdrawal a key may still be accepted: revoke_within of the nodes' settings.
	revokeTime = 5 * time.Second
	// keyPause is the pause between two calls with a withdrawn key at a node.
	keyPause = 50 * time.Millisecond
	// pageTime is how long a page of the operators' records takes to a node, and pageKB the size of a page in KiB: a version of the configuration.
	pageTime = 300 * time.Millisecond
	pageKB   = 1
)

// versionKey returns the key that only one version of the configuration has.
func versionKey(version int) string { return fmt.Sprintf("key-of-%d", version) }

// withdrawnKey draws the key of a version, if it was withdrawn long enough ago for every node to refuse it.
func (w *world) withdrawnKey(rng *rand.Rand) (key string, at time.Time, found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := rng.IntN(w.version)
	at, found = w.withdrawnAt[version]
	return versionKey(version), at, found && time.Since(at) > revokeTime
}

// useWithdrawnKeys calls one node with withdrawn keys until the load ends. The bound holds for each node, whatever happens to it.
func (l *load) useWithdrawnKeys(i int) {
	c := newCaller(l.w, rand.New(rand.NewPCG(l.seed, uint64(90+i))))
	c.at = i
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(keyPause):
		}
		key, at, found := l.w.withdrawnKey(c.rng)
		if !found {
			continue
		}
		after := time.Since(at)
		if status, _ := c.callWith(key, http.MethodGet, "", nil); status == http.StatusOK {
			l.w.violation("CONFIG %s accepts %s, sent %v after it was withdrawn", c.node().name, key, after)
		}
	}
}
