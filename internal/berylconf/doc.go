// Package berylconf holds the operators' configuration: the inventory of the fleet and the rules on top of it.
package berylconf
