// Package beryljob accepts, runs, cancels and reads batch jobs.
//
// A job is one record in the platform's service. The host that the record names as owner, under the record's current
// epoch, runs the items. Every change of the record is a compare-and-swap on its revision, so a host that has lost the job
// may keep running items but can't commit their results.
package beryljob
