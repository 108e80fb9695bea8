// Package berylentry puts the duties of one host on a managed platform together: routes and upstreams followed in the
// platform's store, membership, the scheduler, the relay of online requests and the batch jobs.
package berylentry
