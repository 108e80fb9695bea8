// Package berylentry assembles one host on a managed platform: routes and upstreams read from the platform's store,
// membership, the scheduler, the relay of online requests and the batch jobs.
package berylentry
