// Package createca implements `berylroad key create-ca`, which creates the fleet's certificate authority.
package createca
