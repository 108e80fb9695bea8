// Package version implements `berylroad version`, which prints the build of the program.
package version
