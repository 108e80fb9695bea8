// Package berylbatch accepts batch jobs, runs their items on idle upstreams and stores their results.
//
// All durable state is in the platform's store, under three kinds of keys: a job's record, which names the host that
// owns the job; its specification, which is written once together with the record; and segments of results. A segment is
// written once, in a transaction that fails if the record has changed. So a host that has lost a job may keep running
// its items but can't commit a result, and a committed result never changes its position.
//
// Every host follows the records. Results are read from the job's owner or, if the owner does not answer, from the
// store.
package berylbatch
