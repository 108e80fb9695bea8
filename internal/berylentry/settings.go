package berylentry

import "time"

// Settings are the settings that the platform passes to a process.
type Settings struct {
	// Host is this host's name, which is unique in the fleet.
	Host string
	// Region names the region and FailureDomain the failure domain in which this host runs.
	Region, FailureDomain string
	// CallerAddress is the address that serves callers' requests. ReadyAddress is the address at which the balancer
	// asks whether the host is ready.
	CallerAddress, ReadyAddress string
	// PeerAddress is the IP address and UDP port for other hosts.
	PeerAddress string
	// OperatorAddress is the address that serves metrics and status to operators.
	OperatorAddress string
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string
	// MemoryLimit is the number of bytes that the process may use before the platform kills it. Zero means unknown.
	MemoryLimit int64
	// DescriptorLimit is the number of file descriptors that the process may have open. Zero means unknown.
	DescriptorLimit int
	// DataDirectory is the directory for files on a host with a disk. It is empty on other hosts.
	DataDirectory string
	// GracePeriod is the time between the notice of a planned stop and the kill.
	GracePeriod time.Duration
	// Retention is how long after its submission a job can be read.
	Retention time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// AdaptivePace makes new and recovered upstreams get slots as they show that they can handle them (docs/design/pace.md).
	AdaptivePace bool
}
