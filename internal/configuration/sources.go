package configuration

import (
	"context"
	"encoding/hex"
	"fmt"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// source gives heads and parts: the store, or a peer.
type source interface {
	// head returns nil when the source has none after the one in force, which is
	// nil at the start.
	head(ctx context.Context, inForce *config.Head) (*config.Head, error)
	parts(ctx context.Context, digests []config.Digest) (config.Parts, error)
	fromStore() bool
	String() string
}

type storeSource struct{ store store.Store }

func (s storeSource) head(ctx context.Context, _ *config.Head) (*config.Head, error) {
	head, _, err := readHead(ctx, s.store)
	return head, err
}

func (s storeSource) parts(ctx context.Context, digests []config.Digest) (config.Parts, error) {
	parts, err := readParts(ctx, s.store, digests)
	if err == nil && len(parts) < len(digests) {
		return nil, fmt.Errorf("%w: the store lacks %d parts", ErrUnavailable, len(digests)-len(parts))
	}
	return parts, err
}

func (s storeSource) fromStore() bool { return true }

func (s storeSource) String() string { return "store" }

type peerSource struct {
	peers   Peers
	address string
}

func (p peerSource) head(ctx context.Context, inForce *config.Head) (*config.Head, error) {
	have := int64(0)
	if inForce != nil {
		have = inForce.Revision
	}
	data, err := p.peers.Head(ctx, p.address, have)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(data) == 0 {
		return nil, nil
	}
	change, err := config.DecodeChange(data)
	if err != nil {
		return nil, err
	}
	head, err := change.Apply(inForce)
	if err != nil && inForce != nil {
		return p.head(ctx, nil)
	}
	return head, err
}

// parts asks again for those that didn't fit an answer.
func (p peerSource) parts(ctx context.Context, digests []config.Digest) (config.Parts, error) {
	parts := config.Parts{}
	for len(digests) > 0 {
		var wanted [][]byte
		for _, digest := range digests {
			raw, err := hex.DecodeString(string(digest))
			if err != nil {
				return nil, &config.FormatError{What: "digest", Err: err}
			}
			wanted = append(wanted, raw)
		}
		got, err := p.peers.Parts(ctx, p.address, wanted)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if len(got) == 0 || len(got) > len(digests) {
			return nil, fmt.Errorf("%w: peer %s lacks part %s", ErrUnavailable, p.address, digests[0])
		}
		for i, data := range got {
			parts[digests[i]] = data
		}
		digests = digests[len(got):]
	}
	return parts, nil
}

func (p peerSource) fromStore() bool { return false }

func (p peerSource) String() string { return p.address }
