// Package berylprocess holds the tests that run the whole path as separate processes and kill, freeze and cut them.
package berylprocess
