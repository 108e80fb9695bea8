// Package beryllog writes JSON log lines without ever blocking the code that logs, and limits the rate of frequent messages.
package beryllog
