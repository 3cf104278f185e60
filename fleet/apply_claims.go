package fleet

import (
	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/errkind"
)

// maxClaims is the number of claims that are kept. Ids at or below the floor of dropped ones are refused, so dropping a claim
// never lets its request run again. Only tests, which need few claims to drop one, change it.
var maxClaims = 100_000

// Claims holds the newest claims, in log order, and the floor of the dropped ones.
type Claims struct {
	ByID  map[string]Claim `json:"by_id"`
	Order []string         `json:"order,omitempty"`
	// FloorMillis is the highest ULID time among the claims that were dropped, in milliseconds since the epoch.
	FloorMillis uint64 `json:"floor_millis,omitempty"`
}

// Lookup returns the claim of a team's request id.
func (c *Claims) Lookup(team, requestID string) (Claim, bool) {
	claim, ok := c.ByID[claimKey(team, requestID)]
	return claim, ok
}

// Expired reports whether a request id is too old to tell whether it was claimed.
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

// claim gives the request id to the writer if nobody has it. The first claim wins for ever.
func (s *State) claim(writer string, c *MakeClaim) Result {
	return s.firstClaim(writer, c.Team, c.RequestID, Claim{Claimant: writer})
}

// closeClaim bars a request id that nobody has run. The writer may close its own claim if it did not run.
func (s *State) closeClaim(writer string, c *CloseClaim) Result {
	closed := Claim{Outcome: errkind.NotRun}
	if held, ok := s.Claims.Lookup(c.Team, c.RequestID); ok && held.Claimant == writer && held.Outcome == "" {
		s.Claims.ByID[claimKey(c.Team, c.RequestID)] = closed
		return Result{Claim: &closed}
	}
	return s.firstClaim(writer, c.Team, c.RequestID, closed)
}

func (s *State) firstClaim(writer, team, requestID string, claim Claim) Result {
	key := claimKey(team, requestID)
	if held, ok := s.Claims.ByID[key]; ok {
		if held == claim {
			return Result{Claim: &held}
		}
		r := reject(errkind.ClaimedElsewhere, "request id %s is claimed already", requestID)
		r.Claim = &held
		return r
	}
	if s.Claims.Expired(requestID) {
		return reject(errkind.IDExpired, "request id %s is older than the claims that are kept, or not a ULID", requestID)
	}
	s.Claims.add(key, requestID, claim)
	return Result{Claim: &claim}
}

// finish records the outcome of the writer's claim. The first outcome stays.
func (s *State) finish(writer string, c *FinishClaim) Result {
	key := claimKey(c.Team, c.RequestID)
	held, ok := s.Claims.ByID[key]
	if !ok || held.Claimant != writer {
		return reject(errkind.ClaimedElsewhere, "request id %s is not claimed by %s", c.RequestID, writer)
	}
	if held.Outcome == "" {
		held.Outcome = c.Outcome
		s.Claims.ByID[key] = held
	}
	return Result{Claim: &held}
}
