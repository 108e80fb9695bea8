// Package berylfake implements in-process stand-ins for the systems that berylroad talks to (model engines, plain
// services, the platform's key-value service, its host list and a store). Tests and the demo script their faults.
package berylfake
