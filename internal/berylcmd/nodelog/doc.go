// Package nodelog holds the startup code that the `entry run` and `disk run` commands share: it reads the settings of the users'
// platform and opens the log.
package nodelog
