// Package berylversion keeps streams at the software version of the upstream that began them.
//
// What two versions of a service's upstreams write does not fit together. Versions knows which version began a stream: from
// the memory of the host that passed its first event on, from two other hosts that were told, or because only one version
// can have begun it. Table is the state machine that decides which versions may begin streams and which may have begun one;
// it has no clock and no I/O.
package berylversion
