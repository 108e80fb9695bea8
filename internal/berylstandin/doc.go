// Package berylstandin is the command line of berylroad-standin, which plays the systems around berylroad as processes.
package berylstandin
