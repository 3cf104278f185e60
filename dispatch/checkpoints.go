package dispatch

// checkpoint is the newest known checkpoint of a task or a gang. Its value is opaque, so the run that reported it says how new it is.
type checkpoint struct {
	value   string
	attempt int64 // number of the run that reported it
	percent int   // progress of that run, finalPercent at its end
}

// finalPercent orders the checkpoint with which a run ended after all that the run, or another member of its gang, reported before.
const finalPercent = 100

// newestCheckpoint returns where the newest checkpoint of a task is kept. The value from any member of a gang is valid for the gang, and all members have
// to carry the same one, so a gang has one checkpoint in each occurrence.
func (t *task) newestCheckpoint() *checkpoint {
	if t.step.spec.Gang {
		return &t.step.gangCheckpoint
	}
	return &t.checkpoint
}

// recordCheckpoint records a checkpoint that a server reported, unless a newer one is known: servers that were cut off report earlier runs late.
func (t *task) recordCheckpoint(reported checkpoint) {
	newest := t.newestCheckpoint()
	older := reported.attempt < newest.attempt || reported.attempt == newest.attempt && reported.percent < newest.percent
	if reported.value != "" && !older {
		*newest = reported
	}
}
