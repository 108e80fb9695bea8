// Package berylserve assembles a berylroad host: it creates its components (gate, scheduler, job manager, membership and so
// on), connects them through their interfaces and runs them.
package berylserve
