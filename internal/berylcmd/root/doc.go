// Package root defines the command tree of berylroad, parses the command line and runs the selected command.
package root
