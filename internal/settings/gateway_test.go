package settings

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const gatewayText = `{
  "instance": "g1", "region": "norte", "failure_domain": "a", "regions": {"a": "norte", "b": "centro"}, // comment
  "client_address": "10.0.0.1:80", "ready_address": "10.0.0.1:81", "peer_address": "10.0.0.1:82", "metrics_address": "10.0.0.1:83",
  "store_address": "10.0.0.9:84", "peers": ["10.0.0.2:82"],
  "server_heartbeat_ms": 1200, "grace_seconds": 8, "retry_ratio": 0.2, "retry_slack": 58, "retry_window_seconds": 10, "cold_overage": 1.5, "cold_slack": 5,
}`

// Guards against mistakes that are reported one at a time, or not at all.
func TestGatewayMistakesAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	read, err := ParseGateway("f", []byte(gatewayText))
	c.Assert(err, qt.IsNil)
	c.Assert(read.Regions["b"], qt.Equals, "centro")
	c.Assert(read.Grace().Seconds(), qt.Equals, 8.0)
	bad := strings.NewReplacer(`"instance": "g1", `, "", `"10.0.0.1:81"`, `"ready:81"`, `"server_heartbeat_ms": 1200`, `"server_heartbeat_ms": 0`, `"grace_seconds": 8`, `"grace_seconds": 0`, `"cold_overage": 1.5`, `"cold_overage": 0`, `"cold_slack": 5`, `"cold_slack": -1`, `"10.0.0.1:83"`, `"10.0.0.1:82"`).Replace(gatewayText)
	_, err = ParseGateway("f", []byte(bad))
	var mistakes *MistakesError
	c.Assert(err, qt.ErrorAs, &mistakes)
	c.Assert(mistakes.Mistakes, qt.HasLen, 7)
	_, err = ParseGateway("f", []byte("{"))
	c.Assert(err, qt.ErrorAs, &mistakes)
}

// Guards against a gateway that does not start when the platform leaves out the
// optional settings.
func TestGatewayDefaultsApplyToMissingSettings(t *testing.T) {
	c := qt.New(t)
	from := strings.Index(gatewayText, `"grace_seconds"`)
	read, err := ParseGateway("f", []byte(gatewayText[:from]+"}"))
	c.Assert(err, qt.IsNil)
	c.Assert(read.GraceSeconds, qt.Equals, 8.0)
	c.Assert(read.RetryWindowSeconds, qt.Equals, 10.0)
}
