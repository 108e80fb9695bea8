// Package nodelog starts a process of the users' platform: its settings and its log.
package nodelog
