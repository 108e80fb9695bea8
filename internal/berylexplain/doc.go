// Package berylexplain collects the log lines of several hosts about one request, job or item, each with the state that the host
// had last logged: its configuration, its connection to the store and the upstream's state.
package berylexplain
