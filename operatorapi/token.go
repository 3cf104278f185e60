package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"example.org/comfreyrouter/errkind"
)

// CheckToken returns an error of kind errkind.Unauthorized unless a call carries the operators' token, whose SHA-256 in hexadecimal is given. If that is
// empty, calls need no token. The hashes are compared in constant time.
func CheckToken(r *http.Request, wantSHA256 string) error {
	if wantSHA256 == "" {
		return nil
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(wantSHA256))) != 1 {
		return errkind.New(errkind.Unauthorized, "%s", errkind.Lookup(errkind.Unauthorized).Text)
	}
	return nil
}

// ValidTokenHash reports whether a setting is empty or a SHA-256 in hexadecimal.
func ValidTokenHash(s string) bool {
	sum, err := hex.DecodeString(s)
	return err == nil && (len(sum) == 0 || len(sum) == sha256.Size)
}
