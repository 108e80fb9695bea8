// Package berylintake bounds the memory and the connections that clients make a process hold.
//
// Memory is reserved in one budget before bytes are read. When the budget or the number of connections is used up, the connection
// that makes the least progress for what it holds is closed. The Ledger decides; it has no clock, locks or I/O. Intake, Listener and
// Conn apply its decisions to connections.
package berylintake
