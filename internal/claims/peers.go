package claims

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/rendezvous"
)

// awaitCallTimeout is how long one call waits at a holder before it is repeated. It
// is shorter than the timeout of the client for such a call.
const awaitCallTimeout = 20 * time.Second

// PeerClient calls other instances; peer.Client implements it.
type PeerClient interface {
	AppendClaims(ctx context.Context, address string, shard int, records [][]byte) ([][]byte, error)
	AwaitClaim(ctx context.Context, address string, claim []byte) ([]byte, error)
}

// Directory lists the live instances.
type Directory interface {
	// Appenders returns the live instances in the store's region, of which one is
	// chosen for each shard.
	Appenders() []string
	// Address returns the peer address of a live instance.
	Address(instance string) (address string, ok bool)
}

// Peers is the Forwarder and Awaiter that calls other instances over the network.
type Peers struct {
	Client    PeerClient
	Directory Directory
}

// appendResult is the result of a forwarded operation.
type appendResult struct {
	Decision claim.Decision `json:"decision"`
	// NotAppended and Unresolved stand for ErrNotAppended and ErrUnresolved.
	NotAppended bool `json:"not_appended,omitempty"`
	Unresolved  bool `json:"unresolved,omitempty"`
}

// awaitResult is the response of a holder. Running means that the attempt had not
// ended after awaitCallTimeout.
type awaitResult struct {
	Running  bool          `json:"running,omitempty"`
	Response AwaitResponse `json:"response"`
}

// Appender implements Forwarder.
func (p Peers) Appender(shard int) string {
	return rendezvous.Choose(claim.ShardPrefix(shard), p.Directory.Appenders())
}

// Append implements Forwarder.
func (p Peers) Append(ctx context.Context, instance string, request AppendRequest) (AppendResponse, error) {
	address, ok := p.Directory.Address(instance)
	if !ok {
		return AppendResponse{}, ErrNotReached
	}
	record, err := claim.EncodeOp(request.Op)
	if err != nil {
		return AppendResponse{}, err
	}
	results, err := p.Client.AppendClaims(ctx, address, request.Op.ID.Shard(), [][]byte{record})
	if errors.Is(err, peer.ErrBusy) || errors.Is(err, peer.ErrUnsupported) {
		return AppendResponse{}, fmt.Errorf("%w: %w", ErrNotReached, err)
	}
	if err != nil {
		return AppendResponse{}, err
	}
	if len(results) != 1 {
		return AppendResponse{}, fmt.Errorf("%d results for one operation", len(results))
	}
	var result appendResult
	if err := json.Unmarshal(results[0], &result); err != nil {
		return AppendResponse{}, fmt.Errorf("result of an append: %w", err)
	}
	switch {
	case result.NotAppended:
		return AppendResponse{}, ErrNotAppended
	case result.Unresolved:
		return AppendResponse{}, ErrUnresolved
	}
	return AppendResponse{Decision: result.Decision}, nil
}

// Await implements Awaiter.
func (p Peers) Await(ctx context.Context, holder string, request AwaitRequest) (AwaitResponse, error) {
	address, ok := p.Directory.Address(holder)
	if !ok {
		return AwaitResponse{}, ErrNotReached
	}
	encoded, err := json.Marshal(request)
	if err != nil {
		return AwaitResponse{}, err
	}
	for {
		encodedResult, err := p.Client.AwaitClaim(ctx, address, encoded)
		if err != nil {
			return AwaitResponse{}, err
		}
		var result awaitResult
		if err := json.Unmarshal(encodedResult, &result); err != nil {
			return AwaitResponse{}, fmt.Errorf("response of a holder: %w", err)
		}
		if !result.Running {
			return result.Response, nil
		}
	}
}

// AppendClaims appends operations that another instance forwarded, and returns their
// results in the same order. They are queued together, so that they can share a
// write.
func (c *Claims) AppendClaims(ctx context.Context, shard int, records [][]byte) ([][]byte, error) {
	ops := make([]claim.Op, len(records))
	for i, record := range records {
		op, err := claim.DecodeOp(record)
		if err != nil {
			return nil, err
		}
		if op.ID.Shard() != shard {
			return nil, fmt.Errorf("claim operation of shard %d was sent for shard %d", op.ID.Shard(), shard)
		}
		ops[i] = op
	}
	results := make([][]byte, len(ops))
	done := make(chan error)
	for i, op := range ops {
		go func() {
			var err error
			results[i], err = json.Marshal(c.appendOne(ctx, op))
			done <- err
		}()
	}
	var err error
	for range ops {
		err = errors.Join(err, <-done)
	}
	return results, err
}

func (c *Claims) appendOne(ctx context.Context, op claim.Op) appendResult {
	response, err := c.Append(ctx, AppendRequest{Op: op})
	notAppended := errors.Is(err, ErrNotAppended)
	return appendResult{Decision: response.Decision, NotAppended: notAppended, Unresolved: err != nil && !notAppended}
}

// AwaitClaim waits for the end of an attempt on this instance on behalf of another
// instance.
func (c *Claims) AwaitClaim(ctx context.Context, encoded []byte) ([]byte, error) {
	var request AwaitRequest
	if err := json.Unmarshal(encoded, &request); err != nil {
		return nil, fmt.Errorf("await request: %w", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, awaitCallTimeout)
	defer cancel()
	response, err := c.Await(callCtx, request)
	if err != nil && ctx.Err() != nil {
		return nil, err
	}
	return json.Marshal(awaitResult{Running: err != nil, Response: response})
}
