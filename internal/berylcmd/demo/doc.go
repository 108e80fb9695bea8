// Package demo implements `berylroad demo`, which runs a small fleet with stand-ins in one process and sends it a request and a job.
package demo
