// Package claims grants and records at-most-once claims in the store. It batches
// appends by shard, settles lost answers and answers for running attempts.
package claims

import (
	"context"
	"errors"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
)

// Errors of an append.
var (
	// ErrNotAppended reports an operation that is not in the store and will not be.
	ErrNotAppended = errors.New("claim operation was not appended")
	// ErrUnresolved reports an operation that may be in the store or may still get
	// there. A claim with this error is released before its token is forgotten.
	ErrUnresolved = errors.New("claim operation is unresolved")
	// ErrNotReached reports an instance that could not be called.
	ErrNotReached = errors.New("instance was not reached")
	// ErrLost reports that the claim expired before its outcome was recorded.
	ErrClaimLost = errors.New("claim is not held any more")
)

// AppendRequest asks an instance to append one operation to the shard of its ID.
type AppendRequest struct {
	Op claim.Op
}

// AppendResponse is the decision on the operation.
type AppendResponse struct {
	Decision claim.Decision
}

// Forwarder reaches the appenders of other instances.
type Forwarder interface {
	// Appender names the instance that appends for a shard; empty when none is known.
	Appender(shard int) string
	// Append has an instance append. After any error the caller appends directly
	// under the same token, which is safe whether or not the instance appended.
	// ErrNotReached and ErrNotAppended say that the instance never will.
	Append(ctx context.Context, instance string, request AppendRequest) (AppendResponse, error)
}

// AwaitRequest asks the holder of a claim for the end of its attempt.
type AwaitRequest struct {
	ID    claim.ID
	Token claim.Token
}

// AwaitState tells how an attempt ended.
type AwaitState int

// States of an awaited attempt.
const (
	// AwaitFinished means that the outcome is known.
	AwaitFinished AwaitState = iota + 1
	// AwaitReleased means that the key is free or about to be.
	AwaitReleased
	// AwaitNotHeld means that the instance does not know the token.
	AwaitNotHeld
)

// AwaitResponse is how the attempt ended.
type AwaitResponse struct {
	State  AwaitState
	Answer claim.Answer
}

// Awaiter reaches the holders of claims.
type Awaiter interface {
	// Await waits at the holder until the attempt ends or ctx does.
	Await(ctx context.Context, holder string, request AwaitRequest) (AwaitResponse, error)
}

// Alone is the Forwarder and Awaiter of an instance that reaches no other.
type NoPeers struct{}

// Appender names no instance.
func (NoPeers) Appender(int) string { return "" }

// Append reports ErrNotReached.
func (NoPeers) Append(context.Context, string, AppendRequest) (AppendResponse, error) {
	return AppendResponse{}, ErrNotReached
}

// Await reports ErrNotReached.
func (NoPeers) Await(context.Context, string, AwaitRequest) (AwaitResponse, error) {
	return AwaitResponse{}, ErrNotReached
}
