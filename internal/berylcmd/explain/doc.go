// Package explain is the command that shows what became of one request, job or item.
package explain
