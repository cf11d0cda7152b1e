package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
	"github.com/coltsfootdrift/coltsfootdrift/order"
)

// Errors of Engines.
var (
	// ErrOrderRefused reports that the engine did not carry the order out: its
	// fencing token is old, its time to live is over, or the engine is busy.
	ErrOrderRefused = errors.New("engine refused the order")
	// ErrOrderUnknown reports that the engine may have carried the order out.
	ErrOrderUnknown = errors.New("effect of the order is unknown")
	// ErrStateUnavailable reports that the state of an engine could not be read.
	ErrStateUnavailable = errors.New("engine state is unavailable")
)

// Engines sends orders to model engines and reads their state.
type Engines interface {
	// State returns the state of the engine at an address.
	State(ctx context.Context, server, address string) (order.Observed, error)
	// Send sends one order. An engine carries out each order ID at most once.
	Send(ctx context.Context, o order.Order) error
}

// HTTPEngines implements Engines over HTTP with JSON.
type HTTPEngines struct {
	Client *http.Client
}

// maxStateBytes limits the size of an engine's state document.
const maxStateBytes = 1 << 20

// State reads an engine's state.
func (h *HTTPEngines) State(ctx context.Context, server, address string) (order.Observed, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathState, nil)
	if err != nil {
		return order.Observed{}, fmt.Errorf("%w: %w", ErrStateUnavailable, err)
	}
	response, err := h.Client.Do(request)
	if err != nil {
		return order.Observed{}, fmt.Errorf("%w: %w", ErrStateUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return order.Observed{}, fmt.Errorf("%w: status %d", ErrStateUnavailable, response.StatusCode)
	}
	var state WireState
	if err := httpbody.DecodeJSON(response.Body, maxStateBytes, &state); err != nil {
		return order.Observed{}, fmt.Errorf("%w: %w", ErrStateUnavailable, err)
	}
	return order.Observed{
		Server: server, Incarnation: state.Incarnation, Models: state.Models, Role: state.Role, Loading: state.Loading,
	}, nil
}

// Send posts an order.
func (h *HTTPEngines) Send(ctx context.Context, o order.Order) error {
	body, err := json.Marshal(WireOrder{
		ID: o.ID, Action: string(o.Action), Target: o.Target, FencingToken: o.FencingToken, TTLMS: o.TTL.Milliseconds(),
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOrderRefused, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+PathOrders, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOrderRefused, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.Client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOrderUnknown, err)
	}
	defer response.Body.Close()
	return orderError(response.StatusCode)
}

func orderError(status int) error {
	switch {
	case status == http.StatusOK, status == http.StatusAccepted:
		return nil
	case status >= 400 && status < 500:
		return fmt.Errorf("%w: status %d", ErrOrderRefused, status)
	default:
		return fmt.Errorf("%w: status %d", ErrOrderUnknown, status)
	}
}
