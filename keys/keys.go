// Package keys decides whether a key is accepted: it hashes and compares keys, and determines whether an entry VM's view of the log is
// fresh enough to rule out that the key was withdrawn. The parameter bound of its methods is the freshness bound, the maximum age of a
// view on which keys are accepted (fleet.Policy.KeyFreshnessMillis).
package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// Hash returns the SHA-256 of a key in hexadecimal, the only form in which keys are stored.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Identity is the sender of a request.
type Identity struct {
	Team  string
	KeyID string // empty for a request without a key on an open queue
}

// WithdrawnFunc reports whether a key id was withdrawn in another way than by the configuration, for example at the operators'
// interface during an outage of the log.
type WithdrawnFunc func(keyID string) bool

// Authenticate returns the identity that a key belongs to. It compares the key with every known key in constant time. For a withdrawn
// key it returns the identity together with the error, because the outcomes of the team's earlier requests must still be reported
// correctly.
func Authenticate(c *fleet.Config, withdrawn WithdrawnFunc, key string) (Identity, error) {
	if key == "" {
		return Identity{}, errkind.New(errkind.KeyMissing, "no key was sent")
	}
	hash := []byte(Hash(key))
	found := ""
	for id, k := range c.Keys {
		if subtle.ConstantTimeCompare(hash, []byte(k.Hash)) == 1 {
			found = id
		}
	}
	if found == "" {
		return Identity{}, errkind.New(errkind.KeyUnknown, "the key is not known")
	}
	k := c.Keys[found]
	identity := Identity{Team: k.Team, KeyID: found}
	if k.Withdrawn || withdrawn(found) {
		return identity, errkind.New(errkind.KeyWithdrawn, "key %q was withdrawn", found)
	}
	return identity, nil
}
