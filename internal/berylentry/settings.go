package berylentry

import "time"

// Settings are what the platform tells a process of itself.
type Settings struct {
	// Host is this host's name.
	Host string
	// Region and FailureDomain are where it stands.
	Region, FailureDomain string
	// CallerAddress takes callers' requests, ReadyAddress the balancer's question whether to send them.
	CallerAddress, ReadyAddress string
	// PeerAddress is the IP address and UDP port for other hosts.
	PeerAddress string
	// OperatorAddress shows metrics.
	OperatorAddress string
	// StoreAddress is that of the platform's store.
	StoreAddress string
	// MemoryLimit is how many bytes the process may use before the platform ends it; zero is not known.
	MemoryLimit int64
	// DataDirectory is where a host with a disk keeps files; it is empty elsewhere.
	DataDirectory string
	// GracePeriod is the time between the notice of a planned stop and the kill.
	GracePeriod time.Duration
	// Retention is how long after its submission a job can be read.
	Retention time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
}
