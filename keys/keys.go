// Package keys decides whether a key is accepted: it hashes and compares keys and tells whether the view on which a key is
// checked is fresh enough to exclude a withdrawal.
package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// Hash returns the SHA-256 of a key in hexadecimal, the only form in which keys are kept.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Identity is who a request comes from.
type Identity struct {
	Team  string
	KeyID string // empty for work on an open queue without a key
}

// WithdrawnFunc tells whether a key id was withdrawn by a path other than the configuration, for example at the operators'
// interface while the log is down.
type WithdrawnFunc func(keyID string) bool

// Authenticate returns whose key it is. It compares with every key in constant time. On a withdrawn key the identity is
// returned together with the error, because what the team's earlier requests did must still be told truthfully.
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
	who := Identity{Team: k.Team, KeyID: found}
	if k.Withdrawn || withdrawn(found) {
		return who, errkind.New(errkind.KeyWithdrawn, "key %q was withdrawn", found)
	}
	return who, nil
}
