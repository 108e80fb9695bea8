// Package createca is the command that makes the fleet's certificate authority.
package createca
