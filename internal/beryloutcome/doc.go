// Package beryloutcome defines the result of a call to an upstream and the error answers that callers get.
package beryloutcome
