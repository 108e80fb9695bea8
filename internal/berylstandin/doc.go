// Package berylstandin implements the command line of berylroad-standin, which runs the stand-ins of package berylfake as
// processes.
package berylstandin
