// Package beryljson decodes JSON with comments strictly and reports each problem with its line and column.
package beryljson
