// Package beryllog writes log lines without ever holding up the work that they tell of.
package beryllog
