// Package submit implements `berylroad job submit`, which starts a batch job on a file of items.
package submit
