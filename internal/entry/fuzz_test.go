package entry

import (
	"net/http"
	"testing"
	"time"
)

// Guards against headers of callers that end the process or yield a time limit above the
// longest wait of the kind.
func FuzzTimeouts(f *testing.F) {
	f.Add("5S", "2.5")
	f.Add("99999999H", "-1")
	f.Add("0S", "0") // no time left
	f.Fuzz(func(t *testing.T, grpc, wait string) {
		const longest = time.Minute
		header := http.Header{}
		header.Set("Grpc-Timeout", grpc)
		header.Set("Prefer", "wait="+wait)
		if timeout, err := parseTimeout(header, longest); err == nil && (timeout < 0 || timeout > longest) {
			t.Fatalf("timeout %v", timeout)
		}
		_, _ = parseWait(wait)
	})
}
