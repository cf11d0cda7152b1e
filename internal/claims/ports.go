// Package claims grants and records claims of idempotency keys in the store, so that
// a request with a key runs at most once. It batches the writes of each shard, finds
// out the outcome of writes whose response was lost, and lets repeated requests wait
// for a running attempt.
package claims

import (
	"context"
	"errors"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
)

// Errors of an append.
var (
	// ErrNotAppended reports an operation that is not in the store and will not get
	// there.
	ErrNotAppended = errors.New("claim operation was not appended")
	// ErrUnresolved reports an operation that may be in the store or may still get
	// there. A claim with this error is released before its token is dropped.
	ErrUnresolved = errors.New("claim operation is unresolved")
	// ErrNotReached reports a call that an instance did not carry out: its address is
	// unknown, or it refused the call because it is busy or does not serve it.
	ErrNotReached = errors.New("instance was not reached")
	// ErrClaimLost reports that the claim expired before its outcome was recorded.
	ErrClaimLost = errors.New("claim is not held any more")
)

// AppendRequest is a request to append one operation to the shard of its ID.
type AppendRequest struct {
	Op claim.Op
}

// AppendResponse is the decision on the operation.
type AppendResponse struct {
	Decision claim.Decision
}

// Forwarder calls the appenders of other instances.
type Forwarder interface {
	// Appender returns the instance that appends for a shard, or "" if none is known.
	Appender(shard int) string
	// Append sends an operation to an instance, which appends it. After any error the
	// caller appends the operation directly with the same token, which is safe whether
	// or not the instance has appended it. ErrNotReached and ErrNotAppended mean that
	// the instance has not appended it and never will.
	Append(ctx context.Context, instance string, request AppendRequest) (AppendResponse, error)
}

// AwaitRequest is a request to the holder of a claim to report the end of its attempt.
type AwaitRequest struct {
	ID    claim.ID
	Token claim.Token
}

// AwaitState is the way in which an attempt ended.
type AwaitState int

// States of an awaited attempt.
const (
	// AwaitFinished means that the outcome is known.
	AwaitFinished AwaitState = iota + 1
	// AwaitReleased means that the key is released or is about to be.
	AwaitReleased
	// AwaitNotHeld means that the instance holds no attempt with the token.
	AwaitNotHeld
)

// AwaitResponse reports the end of an attempt. Answer is set if State is
// AwaitFinished.
type AwaitResponse struct {
	State  AwaitState
	Answer claim.Answer
}

// Awaiter calls the holders of claims.
type Awaiter interface {
	// Await waits at the holder until the attempt or ctx ends.
	Await(ctx context.Context, holder string, request AwaitRequest) (AwaitResponse, error)
}

// NoPeers is the Forwarder and Awaiter of an instance without peers.
type NoPeers struct{}

// Appender returns no instance.
func (NoPeers) Appender(int) string { return "" }

// Append returns ErrNotReached.
func (NoPeers) Append(context.Context, string, AppendRequest) (AppendResponse, error) {
	return AppendResponse{}, ErrNotReached
}

// Await returns ErrNotReached.
func (NoPeers) Await(context.Context, string, AwaitRequest) (AwaitResponse, error) {
	return AwaitResponse{}, ErrNotReached
}
