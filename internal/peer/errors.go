package peer

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
	"github.com/twitchtv/twirp"
)

// Errors of the package.
var (
	// ErrMalformed reports a message that cannot be decoded.
	ErrMalformed = errors.New("message between instances is malformed")
	// ErrTooLarge reports a message over its size limit.
	ErrTooLarge = errors.New("message between instances is too large")
	// ErrUnreachable reports a call that got no answer. The peer may have carried it out.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrBusy reports a call that the peer refused because it serves too many others.
	ErrBusy = errors.New("peer is busy")
	// ErrUnsupported reports a call that the peer does not serve, or not yet.
	ErrUnsupported = errors.New("peer does not serve this call")
	// ErrRefused reports a call that the peer's handler refused.
	ErrRefused = errors.New("peer refused the call")
)

// fromTwirp wraps the error of a call in one of this package.
func fromTwirp(err error, call, address string) error {
	if err == nil {
		return nil
	}
	sentinel := ErrUnreachable
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		switch twirpErr.Code() {
		case twirp.ResourceExhausted:
			sentinel = ErrBusy
		case twirp.Unimplemented, twirp.BadRoute:
			sentinel = ErrUnsupported
		case twirp.FailedPrecondition, twirp.InvalidArgument, twirp.Malformed:
			sentinel = ErrRefused
		}
	}
	return oops.In("peer").Code(call).With("address", address).Wrap(fmt.Errorf("%w: %w", sentinel, err))
}

// toTwirp returns the twirp error for the error of a handler.
func toTwirp(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrBusy):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	case errors.Is(err, ErrUnsupported):
		return twirp.NewError(twirp.Unimplemented, err.Error())
	}
	return twirp.NewError(twirp.FailedPrecondition, err.Error())
}
