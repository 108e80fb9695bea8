package berylsettings

import (
	"fmt"
	"net/netip"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryljson"
)

// Settings hold what a host needs to know before it can read the configuration from the platform or a peer.
type Settings struct {
	// Host is the name of this host, as in the inventory and in its certificate.
	Host string `json:"host" help:"Name of this host, as in the inventory and its certificate." env:"BERYLROAD_HOST"`
	// Region is the region in which this host runs, as in the inventory.
	Region string `json:"region" help:"Region of this host." env:"BERYLROAD_REGION"`
	// FailureDomain is the failure domain in which this host runs, as in the inventory.
	FailureDomain string `json:"failure-domain" help:"Failure domain of this host." env:"BERYLROAD_FAILURE_DOMAIN"`
	// CallerAddress is the IP address and TCP port on which the host serves callers.
	CallerAddress string `json:"caller-address" help:"IP address and TCP port for callers." env:"BERYLROAD_CALLER_ADDRESS"`
	// PeerAddress is the IP address and UDP port on which the host serves its peers.
	PeerAddress string `json:"peer-address" help:"IP address and UDP port for other hosts." env:"BERYLROAD_PEER_ADDRESS"`
	// OperatorAddress is the IP address and TCP port of the metrics and health endpoints.
	OperatorAddress string `json:"operator-address" help:"IP address and TCP port of the metrics and health endpoints." env:"BERYLROAD_OPERATOR_ADDRESS"`
	// Platform lists the base URLs of the platform's key-value service, which are tried in turn.
	Platform []string `json:"platform" help:"Base URLs of the platform's key-value service, tried in turn." env:"BERYLROAD_PLATFORM"`
	// HostList is the URL of the platform's list of live and leaving hosts; empty if there is none.
	HostList string `json:"host-list" help:"URL of the platform's list of live and leaving hosts." env:"BERYLROAD_HOST_LIST"`
	// Peers lists hosts, as NAME=ADDRESS, to ask for the configuration while the platform is unavailable.
	Peers []string `json:"peers" help:"Hosts, as NAME=ADDRESS, to ask for the configuration while the platform is unavailable." env:"BERYLROAD_PEERS"`
	// CAFile is the PEM file of the fleet's certificate authority.
	CAFile string `json:"ca-file" help:"PEM file of the fleet's certificate authority." env:"BERYLROAD_CA_FILE"`
	// CertFile is the PEM file of this host's certificate.
	CertFile string `json:"cert-file" help:"PEM file of this host's certificate." env:"BERYLROAD_CERT_FILE"`
	// KeyFile is the PEM file of this host's private key.
	KeyFile string `json:"key-file" help:"PEM file of this host's private key, readable by its owner only." env:"BERYLROAD_KEY_FILE"`
	// BalancerNotice is how long a stopping host keeps accepting requests after it reports itself unready, so that the balancer
	// has time to notice.
	BalancerNotice berylconf.Duration `json:"balancer-notice" help:"How long a stopping host keeps accepting requests after it reports itself unready." default:"5s" env:"BERYLROAD_BALANCER_NOTICE"`
	// LogLevel is the minimum level of log lines: debug, info, warn or error.
	LogLevel string `json:"log-level" help:"Log level: debug, info, warn or error." default:"info" enum:"debug,info,warn,error" env:"BERYLROAD_LOG_LEVEL"`
}

const (
	// maxBalancerNotice is the largest value of Settings.BalancerNotice that Check accepts.
	maxBalancerNotice     = 10 * time.Minute
	missingSettingMessage = "is missing; set it in the settings file, the environment or with its flag"
)

// Check returns an error that lists every setting that is missing or invalid.
func (s *Settings) Check() error {
	problems := &beryljson.Problems{File: "settings"}
	add := func(path, message string) {
		problems.List = append(problems.List, beryljson.Problem{Path: path, Message: message})
	}
	for _, required := range []struct{ name, value string }{
		{"host", s.Host},
		{"region", s.Region},
		{"failure-domain", s.FailureDomain},
		{"ca-file", s.CAFile},
		{"cert-file", s.CertFile},
		{"key-file", s.KeyFile},
	} {
		if required.value == "" {
			add(required.name, missingSettingMessage)
		}
	}
	for _, address := range []struct{ name, value string }{
		{"caller-address", s.CallerAddress},
		{"peer-address", s.PeerAddress},
		{"operator-address", s.OperatorAddress},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			add(address.name, fmt.Sprintf("%q is not an IP address and port, such as 127.0.0.1:8080", address.value))
		}
	}
	if len(s.Platform) == 0 {
		add("platform", missingSettingMessage)
	}
	if s.BalancerNotice < 0 || s.BalancerNotice.Std() > maxBalancerNotice {
		add("balancer-notice", fmt.Sprintf("must be from 0s to %s", maxBalancerNotice))
	}
	if len(problems.List) > 0 {
		return problems
	}
	return nil
}
