package entry

import (
	"fmt"
	"iter"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// preferAsync is the preference of RFC 7240 for durable work.
const preferAsync = "respond-async"

// parseTimeout reads the deadline from Grpc-Timeout or from the wait preference
// of RFC 7240, bounded by the longest wait of the kind.
func parseTimeout(header http.Header, maxWait time.Duration) (time.Duration, error) {
	if value := header.Get("Grpc-Timeout"); value != "" {
		timeout, err := parseGRPCTimeout(value)
		return min(timeout, maxWait), err
	}
	for name, value := range preferences(header) {
		if name != "wait" {
			continue
		}
		timeout, err := parseWait(value)
		return min(timeout, maxWait), err
	}
	return maxWait, nil
}

func prefersAsync(header http.Header) bool {
	for name := range preferences(header) {
		if name == preferAsync {
			return true
		}
	}
	return false
}

// preferences yields the preferences of all Prefer headers with their values,
// without parameters. Names are in lower case.
func preferences(header http.Header) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for _, line := range header.Values("Prefer") {
			for preference := range strings.SplitSeq(line, ",") {
				preference, _, _ = strings.Cut(preference, ";")
				name, value, _ := strings.Cut(preference, "=")
				value = strings.Trim(strings.TrimSpace(value), `"`)
				if !yield(strings.ToLower(strings.TrimSpace(name)), value) {
					return
				}
			}
		}
	}
}

// maxTimeoutDigits is the bound that the gRPC protocol sets on the number. It
// serves for the wait preference as well.
const maxTimeoutDigits = 8

// parseWait reads a whole number of seconds.
func parseWait(value string) (time.Duration, error) {
	number, err := parseTimeoutNumber(value)
	if err != nil {
		return 0, fmt.Errorf("preference wait=%q: %w", value, err)
	}
	return time.Duration(number) * time.Second, nil
}

// grpcUnits are the units of the Grpc-Timeout header.
var grpcUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second,
	'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// longestTimeout bounds a deadline; 99,999,999 hours do not fit a Duration.
const maxTimeout = 1000 * time.Hour

func parseGRPCTimeout(value string) (time.Duration, error) {
	if value == "" {
		return 0, fmt.Errorf("Grpc-Timeout is empty")
	}
	unit, ok := grpcUnits[value[len(value)-1]]
	if !ok {
		return 0, fmt.Errorf("Grpc-Timeout %q does not end with a unit", value)
	}
	number, err := parseTimeoutNumber(value[:len(value)-1])
	if err != nil {
		return 0, fmt.Errorf("Grpc-Timeout %q: %w", value, err)
	}
	if number > int64(maxTimeout/unit) {
		return maxTimeout, nil
	}
	return time.Duration(number) * unit, nil
}

func parseTimeoutNumber(digits string) (int64, error) {
	if len(digits) > maxTimeoutDigits {
		return 0, fmt.Errorf("the number has more than %d digits", maxTimeoutDigits)
	}
	number, err := strconv.ParseUint(digits, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%q is not a positive number", digits)
	}
	return int64(number), nil
}
