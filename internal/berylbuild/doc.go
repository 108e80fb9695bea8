// Package berylbuild tells which build of the program runs.
package berylbuild
