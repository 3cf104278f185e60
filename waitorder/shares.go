package waitorder

// Claim is what a workspace has and wants in a pool.
type Claim struct {
	Weight float64 // of the workspace; without one it has no share
	Used   int64   // capacity that its runs use, in any unit
}

// BeyondShare returns the workspaces that use more of a pool than their share. The pool's use is shared by weight among the workspaces that use some of it
// or have jobs that wait, so what nobody else claims belongs to those that claim it.
func BeyondShare(claims map[string]Claim) map[string]bool {
	weights, used := 0.0, int64(0)
	for _, c := range claims {
		if c.Weight > 0 {
			weights += c.Weight
			used += c.Used
		}
	}
	beyond := map[string]bool{}
	for workspace, c := range claims {
		if c.Weight > 0 && float64(c.Used)*weights > float64(used)*c.Weight {
			beyond[workspace] = true
		}
	}
	return beyond
}
