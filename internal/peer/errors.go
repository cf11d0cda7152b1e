package peer

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
	"github.com/twitchtv/twirp"
)

// Errors of the package.
var (
	// ErrMalformed reports a message that can't be read.
	ErrMalformed = errors.New("message between instances is malformed")
	// ErrTooLarge reports a message over its bound.
	ErrTooLarge = errors.New("message between instances is too large")
	// ErrUnreachable reports a call without an answer. It may have been carried out.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrBusy reports a call that the peer refused because of too many others.
	ErrBusy = errors.New("peer is busy")
	// ErrUnsupported reports a call that the peer doesn't serve (yet).
	ErrUnsupported = errors.New("peer does not serve this call")
	// ErrRefused reports a call that the peer's handler refused.
	ErrRefused = errors.New("peer refused the call")
)

// fromTwirp turns an error of a call into one of this package.
func fromTwirp(err error, call, address string) error {
	if err == nil {
		return nil
	}
	sentinel := ErrUnreachable
	var answer twirp.Error
	if errors.As(err, &answer) {
		switch answer.Code() {
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

// toTwirp turns an error of a handler into an answer.
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
