// Package fleet holds the state that all entry VMs replicate and the
// deterministic fold that computes it from the platform's log.
//
// To fold a batch is to apply its commands to the state. The fold uses no clock,
// no randomness and no I/O: the same batches in the same order give the same
// State on every VM. The fold itself rejects a command that is not valid in the
// current state; the writer reads the Result back.
package fleet
