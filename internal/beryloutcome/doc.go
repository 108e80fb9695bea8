// Package beryloutcome holds the value that every call to an upstream ends with.
package beryloutcome
