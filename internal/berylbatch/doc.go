// Package berylbatch takes batch jobs, runs their items on idle upstreams and keeps their results.
//
// Everything that must last is in the platform's store, under three kinds of keys: a job's record, which names the host
// that runs it; its specification, which is written once with the record; and segments of results, each written once
// under the condition that the record is unchanged. So a host that has lost a job can run on but never list a result,
// and a listed result never changes its position. All hosts follow the records; results are read from the host that
// runs the job and, where that does not answer, from the store.
package berylbatch
