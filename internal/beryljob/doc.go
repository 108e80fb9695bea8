// Package beryljob takes, runs, cancels and reads batch jobs.
//
// A job is one record in the platform's service. The host that holds the record's epoch runs the items; every change of
// the record is a compare-and-swap on its revision, so a host that lost the job can run on but never commit.
package beryljob
