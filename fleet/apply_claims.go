package fleet

import (
	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/errkind"
)

// maxClaims is the maximum number of claims that are kept. Request ids at or below Claims.FloorMillis are refused, so dropping a
// claim never lets its request run again. It is a variable only so that tests can lower it.
var maxClaims = 100_000

// Claims holds the newest claims, in log order, and the time floor below which claims may have been dropped.
type Claims struct {
	ByID  map[string]Claim `json:"by_id"`
	Order []string         `json:"order,omitempty"`
	// FloorMillis is the highest ULID time among the dropped claims, in milliseconds since the Unix epoch.
	FloorMillis uint64 `json:"floor_millis,omitempty"`
}

// Lookup returns the claim on a team's request id, if there is one.
func (c *Claims) Lookup(team, requestID string) (Claim, bool) {
	claim, ok := c.ByID[claimKey(team, requestID)]
	return claim, ok
}

// Expired reports whether a request id is not a ULID, or so old that a claim on it may have been dropped.
func (c *Claims) Expired(requestID string) bool {
	id, err := ulid.ParseStrict(requestID)
	return err != nil || id.Time() <= c.FloorMillis
}

func (c *Claims) add(key, requestID string, claim Claim) {
	if len(c.Order) >= maxClaims {
		c.dropOldest()
	}
	c.ByID[key] = claim
	c.Order = append(c.Order, key)
}

func (c *Claims) dropOldest() {
	oldest := c.Order[0]
	if id, err := ulid.ParseStrict(oldest[len(oldest)-ulid.EncodedSize:]); err == nil {
		c.FloorMillis = max(c.FloorMillis, id.Time())
	}
	delete(c.ByID, oldest)
	c.Order = c.Order[1:]
}

func claimKey(team, requestID string) string { return team + "/" + requestID }

// makeClaim claims the request id for the writer if it is unclaimed. The first claim wins permanently.
func (s *State) makeClaim(writer string, c *MakeClaim) Result {
	return s.claimIfUnclaimed(writer, c.Team, c.RequestID, Claim{Claimant: writer})
}

// closeClaim closes a request id that nobody has claimed, or the writer's own claim if it has no outcome yet.
func (s *State) closeClaim(writer string, c *CloseClaim) Result {
	closed := Claim{Outcome: errkind.NotRun}
	if existing, ok := s.Claims.Lookup(c.Team, c.RequestID); ok && existing.Claimant == writer && existing.Outcome == "" {
		s.Claims.ByID[claimKey(c.Team, c.RequestID)] = closed
		return Result{Claim: &closed}
	}
	return s.claimIfUnclaimed(writer, c.Team, c.RequestID, closed)
}

// claimIfUnclaimed adds the claim unless the request id has another one or has expired. A repeat of the same claim is accepted.
func (s *State) claimIfUnclaimed(writer, team, requestID string, claim Claim) Result {
	key := claimKey(team, requestID)
	if existing, ok := s.Claims.ByID[key]; ok {
		if existing == claim {
			return Result{Claim: &existing}
		}
		r := reject(errkind.ClaimedElsewhere, "request id %s is claimed already", requestID)
		r.Claim = &existing
		return r
	}
	if s.Claims.Expired(requestID) {
		return reject(errkind.IDExpired, "request id %s is older than the claims that are kept, or not a ULID", requestID)
	}
	s.Claims.add(key, requestID, claim)
	return Result{Claim: &claim}
}

// finishClaim records the outcome of the writer's claim. Later outcomes are ignored.
func (s *State) finishClaim(writer string, c *FinishClaim) Result {
	key := claimKey(c.Team, c.RequestID)
	existing, ok := s.Claims.ByID[key]
	if !ok || existing.Claimant != writer {
		return reject(errkind.ClaimedElsewhere, "request id %s is not claimed by %s", c.RequestID, writer)
	}
	if existing.Outcome == "" {
		existing.Outcome = c.Outcome
		s.Claims.ByID[key] = existing
	}
	return Result{Claim: &existing}
}
