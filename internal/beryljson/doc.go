// Package beryljson reads JSON with comments strictly and names each problem by line and column.
package beryljson
