// Package lift implements `berylroad entry lift`, which lifts a quarantine of prompt parts.
package lift
