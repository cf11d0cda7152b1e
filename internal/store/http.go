package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answerhead"
	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
)

// maxIdleConnections limits the idle connections to the store. An instance has
// at most one write in flight per claim shard and few other calls.
const maxIdleConnections = 32

// maxAnswerBytes limits the size of one answer. It is far above MaxValueBytes because
// a list returns whole values.
const maxAnswerBytes = 64 << 20

// maxHeadBytes limits the head of an answer.
const maxHeadBytes = 64 << 10

// HTTP is the Store adapter for the HTTP protocol.
type HTTP struct {
	client  *http.Client
	address string
	// watchWait is the time that the service waits for a change before it ends a watch.
	watchWait time.Duration
}

// defaultWatchWait is shorter than the idle timeout that network equipment
// commonly applies to connections.
const defaultWatchWait = 30 * time.Second

// dialTimeout limits the time until an unreachable store is detected.
const dialTimeout = time.Second

// NewHTTP returns an adapter for the service at address, an IP address and port.
func NewHTTP(address string) *HTTP {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}
	client := &http.Client{
		Transport: answerhead.Transport{Next: transport},
		// A redirect with status 307 or 308 would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &HTTP{client: client, address: address, watchWait: defaultWatchWait}
}

// errIncompleteAnswer reports an answer that lacks a field.
var errIncompleteAnswer = errors.New("answer of the store is incomplete")

// Get returns one entry, or ErrNotFound.
func (s *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	var entry WireEntry
	if err := s.read(ctx, PathKeys+key, nil, &entry); err != nil {
		return Entry{}, err
	}
	if !entry.complete() || entry.Key != key {
		return Entry{}, s.annotate(http.MethodGet, key, fmt.Errorf("%w: %w", ErrUnavailable, errIncompleteAnswer))
	}
	return entry.Entry(), nil
}

// List returns up to limit entries with the prefix and a key after the given one.
func (s *HTTP) List(ctx context.Context, prefix, after string, limit int) ([]Entry, error) {
	var list WireList
	query := url.Values{ParamPrefix: {prefix}, ParamAfter: {after}, ParamLimit: {strconv.Itoa(limit)}}
	if err := s.read(ctx, PathList, query, &list); err != nil {
		return nil, err
	}
	if slices.ContainsFunc(list.Entries, func(e WireEntry) bool { return !e.complete() }) {
		return nil, s.annotate(http.MethodGet, PathList, fmt.Errorf("%w: %w", ErrUnavailable, errIncompleteAnswer))
	}
	return entries(list.Entries), nil
}

// CompareAndSwap writes value if the key has the expected version.
func (s *HTTP) CompareAndSwap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	var written WireWrite
	query := url.Values{ParamExpect: {formatID(expected)}}
	if lease != 0 {
		query.Set(ParamLease, formatID(lease))
	}
	err := s.write(ctx, http.MethodPut, PathKeys+key, query, value, &written)
	if err == nil && written.Version == 0 {
		err = s.annotate(http.MethodPut, key, fmt.Errorf("%w: %w", ErrUnknownOutcome, errIncompleteAnswer))
	}
	return written.Version, err
}

// Delete removes the key if it has the expected version.
func (s *HTTP) Delete(ctx context.Context, key string, expected Version) error {
	query := url.Values{ParamExpect: {formatID(expected)}}
	return s.write(ctx, http.MethodDelete, PathKeys+key, query, nil, nil)
}

// GrantLease creates a lease that expires after ttl unless it is kept alive.
func (s *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body, err := json.Marshal(WireGrant{TTLMS: ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	var granted WireLease
	err = s.write(ctx, http.MethodPost, PathLeases, nil, body, &granted)
	if err == nil && granted.Lease == 0 {
		err = s.annotate(http.MethodPost, PathLeases, fmt.Errorf("%w: %w", ErrUnknownOutcome, errIncompleteAnswer))
	}
	return granted.Lease, err
}

// KeepAlive extends a lease by its ttl, or returns ErrNotFound.
func (s *HTTP) KeepAlive(ctx context.Context, lease LeaseID) error {
	return s.write(ctx, http.MethodPost, leasePath(lease)+KeepAliveSuffix, nil, nil, nil)
}

// RevokeLease ends a lease and deletes its keys.
func (s *HTTP) RevokeLease(ctx context.Context, lease LeaseID) error {
	return s.write(ctx, http.MethodDelete, leasePath(lease), nil, nil, nil)
}

// Watch waits until a key with the prefix changes after the given version.
func (s *HTTP) Watch(ctx context.Context, prefix string, after Version) (WatchResult, error) {
	query := url.Values{
		ParamPrefix: {prefix},
		ParamAfter:  {formatID(after)},
		ParamWaitMS: {strconv.FormatInt(s.watchWait.Milliseconds(), 10)},
	}
	var watched WireWatch
	if err := s.read(ctx, PathWatch, query, &watched); err != nil {
		return WatchResult{}, err
	}
	return WatchResult{Changed: entries(watched.Changed), Deleted: watched.Deleted, Version: watched.Version}, nil
}

// read sends a call that changes nothing in the store: every failure except
// ErrNotFound is ErrUnavailable.
func (s *HTTP) read(ctx context.Context, path string, query url.Values, answer any) error {
	_, err := s.call(ctx, http.MethodGet, path, query, nil, answer)
	if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrUnavailable) {
		return err
	}
	return s.annotate(http.MethodGet, path, fmt.Errorf("%w: %w", ErrUnavailable, err))
}

// annotate adds the store, method and path of a call to its error. It is not used
// for answers of the store that are ordinary results, such as conflicts.
func (s *HTTP) annotate(method, path string, err error) error {
	return oops.In("store").Code("call_failed").With("store", s.address, "method", method, "path", path).Wrap(err)
}

// write sends a call that changes the store. A failure after a connection was
// established is ErrUnknownOutcome, unless the answer states that nothing was written.
func (s *HTTP) write(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	connected, err := s.call(ctx, method, path, query, body, answer)
	var conflict *ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, ErrNotFound), errors.Is(err, ErrTooLarge), errors.Is(err, ErrUnavailable):
		return err
	case !connected:
		return s.annotate(method, path, fmt.Errorf("%w: %w", ErrUnavailable, err))
	default:
		return s.annotate(method, path, fmt.Errorf("%w: %w", ErrUnknownOutcome, err))
	}
}

// call sends one request and decodes its answer. connected is false when no
// connection was established, so that nothing can have been sent.
func (s *HTTP) call(ctx context.Context, method, path string, query url.Values, body []byte, answer any) (connected bool, err error) {
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	})
	target := url.URL{Scheme: "http", Host: s.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), onceReader(body))
	if err != nil {
		return false, err
	}
	request.ContentLength = int64(len(body))
	response, err := s.client.Do(request)
	if err != nil {
		return gotConnection.Load(), err
	}
	defer response.Body.Close()
	return true, decode(response, path, answer)
}

// onceReader hides the type of the body from net/http, which could otherwise rewind
// the body and send a write again on its own.
func onceReader(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return io.MultiReader(bytes.NewReader(body))
}

// decode decodes an answer into a value, or returns the error of the package that its
// status stands for.
func decode(response *http.Response, path string, answer any) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		if answer == nil {
			return nil
		}
		return httpbody.DecodeJSON(response.Body, maxAnswerBytes, answer)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		var conflict WireConflict
		if err := httpbody.DecodeJSON(response.Body, maxAnswerBytes, &conflict); err != nil {
			return err
		}
		return &ConflictError{Key: path[min(len(path), len(PathKeys)):], Current: conflict.Current}
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s", ErrUnavailable, response.Status)
	}
	return fmt.Errorf("unexpected status %s", response.Status)
}

func entries(wire []WireEntry) []Entry {
	result := make([]Entry, len(wire))
	for i, entry := range wire {
		result[i] = entry.Entry()
	}
	return result
}

func leasePath(lease LeaseID) string {
	return PathLeases + "/" + formatID(lease)
}

func formatID[T ~int64](id T) string {
	return strconv.FormatInt(int64(id), 10)
}
