// Package explain implements `berylroad explain`, which shows the log lines of several hosts about one request, job or item.
package explain
