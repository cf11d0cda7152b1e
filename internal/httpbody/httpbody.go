// Package httpbody reads the bodies of HTTP answers from other processes, and returns
// only complete ones. A body that was cut off, that exceeds its limit, or that has no
// marked end where its content can't show one is an error, never a short body.
package httpbody

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// Errors of incomplete bodies. A body that ends before its announced length, or inside a
// chunk, returns io.ErrUnexpectedEOF.
var (
	// ErrTooLarge reports a body over its limit.
	ErrTooLarge = errors.New("body of the answer is too large")
	// ErrCloseDelimited reports a body with neither a length nor chunks. Its end can't be
	// distinguished from that of a connection which its sender closed early.
	ErrCloseDelimited = errors.New("answer has neither a length nor chunks")
)

// limitedReader returns ErrTooLarge, instead of io.EOF, beyond a number of bytes.
type limitedReader struct {
	reader io.Reader
	left   int64
}

func (r *limitedReader) Read(p []byte) (int, error) {
	// One byte beyond the limit distinguishes a body that ends there from a longer one.
	n, err := r.reader.Read(p[:min(int64(len(p)), r.left+1)])
	if r.left -= int64(n); r.left < 0 {
		return n - 1, ErrTooLarge
	}
	return n, err
}

// Read reads a body of at most limit bytes to its end.
func Read(body io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(&limitedReader{body, limit})
}

// DecodeJSON decodes a body that is one JSON document of at most limit bytes. An object
// or an array shows by itself that it is complete, so into must point to a type for one.
func DecodeJSON(body io.Reader, limit int64, into any) error {
	data, err := Read(body, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("body of %d bytes: %w", len(data), err)
	}
	return nil
}

// CloseDelimited reports whether a response has neither a length nor chunks, so that its
// body ends with its connection (RFC 9112, section 6.3).
func CloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// Transport is an http.RoundTripper for answers whose content does not show its end, such
// as protobuf messages: a part of one may be a valid message. It fails with
// ErrCloseDelimited for answers with neither a length nor chunks, and bodies over Limit
// bytes fail with ErrTooLarge.
type Transport struct {
	Next  http.RoundTripper
	Limit int64
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	// A decompressed body has lost its length, and ends with the checksum of gzip.
	if CloseDelimited(response) && !response.Uncompressed {
		response.Body.Close()
		return nil, ErrCloseDelimited
	}
	response.Body = limitedBody{&limitedReader{response.Body, t.Limit}, response.Body}
	return response, nil
}

type limitedBody struct {
	io.Reader
	io.Closer
}

// CloseIdleConnections closes the idle connections of Next, for http.Client.
func (t Transport) CloseIdleConnections() { (&http.Client{Transport: t.Next}).CloseIdleConnections() }
