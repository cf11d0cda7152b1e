package settings

import (
	"fmt"
	"os"
	"time"
)

// Gateway is the settings file of a gateway.
type Gateway struct {
	// Instance is the unique name of the instance.
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Regions names the region of each failure domain.
	Regions map[string]string `json:"regions"`
	// ClientAddress serves clients, IP number and port.
	ClientAddress string `json:"client_address"`
	// ReadyAddress serves readiness.
	ReadyAddress string `json:"ready_address"`
	// PeerAddress serves other instances, TCP and UDP on the same port.
	PeerAddress string `json:"peer_address"`
	// MetricsAddress serves metrics.
	MetricsAddress string `json:"metrics_address"`
	// StoreAddress is the platform's key-value service.
	StoreAddress string `json:"store_address"`
	// Peers lists peer addresses that are tried before others are known.
	Peers []string `json:"peers,omitempty"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `json:"grace_seconds,omitempty"`
	// RetryRatio and RetrySlack bound the repeats that all instances together send
	// to a service within RetryWindowSeconds: ratio x requests + slack.
	RetryRatio         float64 `json:"retry_ratio,omitempty"`
	RetrySlack         float64 `json:"retry_slack,omitempty"`
	RetryWindowSeconds float64 `json:"retry_window_seconds,omitempty"`
}

// defaultGateway has the settings that a file may lack.
var defaultGateway = Gateway{GraceSeconds: 8, RetryRatio: 0.1, RetrySlack: 20, RetryWindowSeconds: 10}

// Grace returns the time from SIGTERM to SIGKILL.
func (g Gateway) Grace() time.Duration {
	return time.Duration(g.GraceSeconds * float64(time.Second))
}

// ReadGateway reads and checks the settings file of a gateway. It returns a
// *MistakesError that lists every mistake when the file can be read.
func ReadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, fmt.Errorf("settings: %w", err)
	}
	return ParseGateway(path, data)
}

// ParseGateway checks the text of a gateway's settings file. Path names it in
// messages.
func ParseGateway(path string, data []byte) (Gateway, error) {
	gateway := defaultGateway
	c := newChecker(data, &gateway)
	if root, ok := c.parse(); ok {
		c.required(root, "instance", "region", "failure_domain", "client_address", "ready_address", "peer_address",
			"metrics_address", "store_address")
		c.notEmpty("instance")
		c.addresses("client_address", "ready_address", "peer_address", "metrics_address", "store_address")
		c.positive("grace_seconds", gateway.GraceSeconds)
		c.positive("retry_window_seconds", gateway.RetryWindowSeconds)
	}
	return gateway, c.result(path)
}

func (c *checker) positive(name string, value float64) {
	if given, ok := c.values[name]; ok && value <= 0 {
		c.addAt(given.StartOffset, "setting %q must be above 0", name)
	}
}
