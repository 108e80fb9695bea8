// Package status implements `berylroad entry status`, which shows the status of an entry host.
package status
