// Package answerhead rejects answers whose heads net/http accepts although they are not valid
// HTTP/1 (RFC 9110, RFC 9112). What such an answer says, and where its body ends, is not known.
package answerhead

import (
	"fmt"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports an answer that is not valid HTTP/1.
type MalformedError struct {
	// Problem says what is wrong.
	Problem string
}

// Error says what is wrong.
func (e *MalformedError) Error() string { return "answer is malformed: " + e.Problem }

// Bounds of status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Check checks the head of an answer: its version, its status and the names of its fields. The
// error is a *MalformedError. No request of this project asks for another protocol, so that
// status 101 is no valid answer.
func Check(response *http.Response) error {
	status := response.StatusCode
	if response.ProtoMajor != 1 {
		return &MalformedError{fmt.Sprintf("version %q", response.Proto)}
	}
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &MalformedError{fmt.Sprintf("status %q", response.Status)}
	}
	return checkNames(response.Header)
}

// CheckTrailer checks the names of the fields after a chunked body that was read to its end. The
// error is a *MalformedError.
func CheckTrailer(response *http.Response) error { return checkNames(response.Trailer) }

// checkNames returns an error for a name that is no token, such as one with a space before the
// colon. The sender and other recipients may read the field, a length for example, by its name
// without the space (RFC 9112, section 5.1).
func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{fmt.Sprintf("name of a field %q", name)}
		}
	}
	return nil
}

// Transport is an http.RoundTripper that fails with a *MalformedError for answers that Check
// rejects.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Next, for http.Client.
func (t Transport) CloseIdleConnections() { (&http.Client{Transport: t.Next}).CloseIdleConnections() }

// NewClient returns a client that fails with a *MalformedError for answers that Check rejects.
// Its calls end after a timeout.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Transport: Transport{Next: http.DefaultTransport}, Timeout: timeout}
}
