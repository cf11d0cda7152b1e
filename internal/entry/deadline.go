package entry

import (
	"fmt"
	"iter"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// preferAsync is the RFC 7240 preference of a caller that fetches the answer of a
// durable request later.
const preferAsync = "respond-async"

// parseTimeout reads the timeout from the Grpc-Timeout header or from the wait
// preference of RFC 7240. The result is at most maxWait, the longest wait of the
// request's kind, which is also the default.
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

// preferences yields the names, in lower case, and values of the preferences in
// all Prefer headers. Parameters of preferences are dropped.
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

// maxTimeoutDigits is the limit of the gRPC protocol for the number in
// Grpc-Timeout. It is applied to the wait preference as well.
const maxTimeoutDigits = 8

// parseWait parses the wait preference, a whole number of seconds.
func parseWait(value string) (time.Duration, error) {
	number, err := parseTimeoutNumber(value)
	if err != nil {
		return 0, fmt.Errorf("preference wait=%q: %w", value, err)
	}
	return time.Duration(number) * time.Second, nil
}

// grpcUnits maps the unit suffixes of the Grpc-Timeout header to durations.
var grpcUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second,
	'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// maxTimeout limits the value of Grpc-Timeout, because 99,999,999 hours overflow
// a time.Duration.
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
