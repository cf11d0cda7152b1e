package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// Gateway holds the settings of a gateway.
type Gateway struct {
	// Instance is the unique name of the instance.
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `json:"regions"`
	// ClientAddress is the address (IP and port) on which the gateway serves clients.
	ClientAddress string `json:"client_address"`
	// ReadyAddress is the address on which the gateway serves readiness.
	ReadyAddress string `json:"ready_address"`
	// PeerAddress is the address on which the gateway serves other instances, with
	// TCP and UDP on the same port.
	PeerAddress string `json:"peer_address"`
	// MetricsAddress is the address on which the gateway serves metrics.
	MetricsAddress string `json:"metrics_address"`
	// StoreAddress is the address of the platform's key-value service.
	StoreAddress string `json:"store_address"`
	// LinkMbits is the bandwidth of the instance's link in Mbit/s, Processor its share of
	// the processor in cores. Stronger instances are chosen first for work that one
	// instance does for others. 0 means unknown.
	LinkMbits float64 `json:"link_mbits,omitempty"`
	Processor float64 `json:"processor,omitempty"`
	// MemoryMB is the memory of the instance in MB, and MaxDescriptors the number of file
	// descriptors that the process may have open. 0 means unknown.
	MemoryMB       float64 `json:"memory_mb,omitempty"`
	MaxDescriptors int     `json:"max_descriptors,omitempty"`
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool `json:"first_start,omitempty"`
	// Peers lists peer addresses to use before others are known.
	Peers []string `json:"peers,omitempty"`
	// ServerHeartbeatMS is the interval in ms at which backend servers renew their entries in
	// the store. 0 means unknown.
	ServerHeartbeatMS float64 `json:"server_heartbeat_ms,omitempty"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `json:"grace_seconds,omitempty"`
	// RetryRatio and RetrySlack limit the retries that all instances together send to
	// a service within RetryWindowSeconds to ratio x requests + slack.
	RetryRatio         float64 `json:"retry_ratio,omitempty"`
	RetrySlack         float64 `json:"retry_slack,omitempty"`
	RetryWindowSeconds float64 `json:"retry_window_seconds,omitempty"`
	// ColdOverage and ColdSlack limit the requests that all instances together send to a
	// cold server in any second to the rate of its service x overage + slack.
	ColdOverage float64 `json:"cold_overage,omitempty"`
	ColdSlack   float64 `json:"cold_slack,omitempty"`
}

// defaultGateway holds the defaults of optional settings.
var defaultGateway = Gateway{GraceSeconds: 8, RetryRatio: 0.1, RetrySlack: 20, RetryWindowSeconds: 10, ColdOverage: 1}

// Grace returns the time from SIGTERM to SIGKILL.
func (g Gateway) Grace() time.Duration {
	return time.Duration(g.GraceSeconds * float64(time.Second))
}

// ServerHeartbeat returns the interval at which backend servers renew their entries, 0 if it is
// unknown.
func (g Gateway) ServerHeartbeat() time.Duration {
	return time.Duration(g.ServerHeartbeatMS * float64(time.Millisecond))
}

// Capacity returns the capacity that the instance announces to the others.
func (g Gateway) Capacity() membership.Capacity {
	return membership.Capacity{LinkMbits: int(g.LinkMbits), ProcessorMillis: int(1000 * g.Processor)}
}

// ReadGateway reads and checks the settings file of a gateway. If the file can be
// read but has mistakes, the error is a *MistakesError that lists all of them.
func ReadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, fmt.Errorf("settings: %w", err)
	}
	return ParseGateway(path, data)
}

// ParseGateway parses and checks the settings file of a gateway. The path is only
// used in messages. The error is a *MistakesError.
func ParseGateway(path string, data []byte) (Gateway, error) {
	gateway := defaultGateway
	c := newChecker(data, &gateway)
	if root, ok := c.parse(); ok {
		c.checkRequired(root, "instance", "region", "failure_domain", "client_address", "ready_address", "peer_address",
			"metrics_address", "store_address")
		c.checkNotEmpty("instance")
		c.checkAddresses("client_address", "ready_address", "peer_address", "metrics_address", "store_address")
		c.checkPositive("server_heartbeat_ms", gateway.ServerHeartbeatMS)
		c.checkPositive("grace_seconds", gateway.GraceSeconds)
		c.checkPositive("link_mbits", gateway.LinkMbits)
		c.checkPositive("processor", gateway.Processor)
		c.checkPositive("memory_mb", gateway.MemoryMB)
		c.checkPositive("max_descriptors", float64(gateway.MaxDescriptors))
		c.checkPositive("retry_window_seconds", gateway.RetryWindowSeconds)
		c.checkPositive("cold_overage", gateway.ColdOverage)
		c.checkNotNegative("cold_slack", gateway.ColdSlack)
	}
	return gateway, c.err(path)
}

func (c *checker) checkNotNegative(name string, value float64) {
	if given, ok := c.values[name]; ok && value < 0 {
		c.addAt(given.StartOffset, "setting %q must not be below 0", name)
	}
}

func (c *checker) checkPositive(name string, value float64) {
	if given, ok := c.values[name]; ok && value <= 0 {
		c.addAt(given.StartOffset, "setting %q must be above 0", name)
	}
}
