package answermemory

import (
	"context"
	"io"
	"net/http"
)

// bodyCopies is how often the bytes of a body are in memory while it is read and decoded by
// callers that read it as a whole.
const bodyCopies = 2

// Transport is an http.RoundTripper that reserves memory for the bodies of answers as they are
// read, until they are closed. Reads return ErrNoRoom when there is none.
type Transport struct {
	Next    http.RoundTripper
	Account *Account
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(request.Context())
	response, err := t.Next.RoundTrip(request.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, err
	}
	holding := t.Account.Open(request.URL.Host, cancel)
	response.Body = &countedBody{ReadCloser: response.Body, holding: holding, cancel: cancel}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Next, for http.Client.
func (t Transport) CloseIdleConnections() { (&http.Client{Transport: t.Next}).CloseIdleConnections() }

// countedBody is a body whose bytes are reserved as they are read.
type countedBody struct {
	io.ReadCloser
	holding *Holding
	cancel  func()
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if noRoom := b.holding.Reserve(int64(n) * bodyCopies); noRoom != nil {
		return n, noRoom
	}
	return n, err
}

func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	b.holding.Close()
	return err
}
