package configuration

import (
	"context"
	"encoding/hex"
	"fmt"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// source is the store or a peer, from which heads and parts are read.
type source interface {
	// head returns the head of the source. It may return nil when the source has no
	// higher revision than inForce, which is nil before the first configuration.
	head(ctx context.Context, inForce *config.Head) (*config.Head, error)
	parts(ctx context.Context, digests []config.Digest) (config.Parts, error)
	isStore() bool
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
		return nil, fmt.Errorf("%w: %d parts are missing from the store", ErrUnavailable, len(digests)-len(parts))
	}
	return parts, err
}

func (s storeSource) isStore() bool { return true }

func (s storeSource) String() string { return "store" }

type peerSource struct {
	peers   Peers
	address string
}

func (p peerSource) head(ctx context.Context, inForce *config.Head) (*config.Head, error) {
	revision := int64(0)
	if inForce != nil {
		revision = inForce.Revision
	}
	data, err := p.peers.Head(ctx, p.address, revision)
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

// parts reads parts with as many calls as needed, because one response may not have
// room for all of them.
func (p peerSource) parts(ctx context.Context, digests []config.Digest) (config.Parts, error) {
	parts := config.Parts{}
	for len(digests) > 0 {
		var rawDigests [][]byte
		for _, digest := range digests {
			raw, err := hex.DecodeString(string(digest))
			if err != nil {
				return nil, &config.FormatError{What: "digest", Err: err}
			}
			rawDigests = append(rawDigests, raw)
		}
		received, err := p.peers.Parts(ctx, p.address, rawDigests)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if len(received) == 0 || len(received) > len(digests) {
			return nil, fmt.Errorf("%w: peer %s does not have part %s", ErrUnavailable, p.address, digests[0])
		}
		for i, data := range received {
			parts[digests[i]] = data
		}
		digests = digests[len(received):]
	}
	return parts, nil
}

func (p peerSource) isStore() bool { return false }

func (p peerSource) String() string { return p.address }
