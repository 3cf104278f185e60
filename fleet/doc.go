// Package fleet holds the state that all entry VMs agree on and the
// deterministic fold that computes it from the platform's log.
//
// The fold has no clock, no randomness and no I/O: the same batches in the same
// order give the same State on every VM. A command that does not apply is
// rejected inside the fold, with a Result that its writer reads back.
package fleet
