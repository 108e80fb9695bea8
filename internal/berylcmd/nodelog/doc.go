// Package nodelog holds what the `entry run` and `disk run` commands share at the start: it reads the settings of the users'
// platform and opens the log.
package nodelog
