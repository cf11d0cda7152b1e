// Package platform reads the platform's list of instances and backend servers. The
// list lags behind the actual state, so callers use it as a hint only.
// Entry instances use it; gateways find backend servers in the store, see package
// internal/view.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/samber/oops"

	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
)

// State is the state of a process in the list.
type State string

// States of a process in the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Role distinguishes entry instances from backend servers.
type Role string

// Roles of a process in the list.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// Member is one process in the list.
type Member struct {
	ID            string `json:"id"`
	Role          Role   `json:"role"`
	Address       string `json:"address"`
	Pool          string `json:"pool,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
	Incarnation   int64  `json:"incarnation,omitempty"`
}

// ErrUnavailable reports that the list could not be read.
var ErrUnavailable = errors.New("instance list is unavailable")

// Lister reads the list of instances and backend servers.
type Lister interface {
	List(ctx context.Context) ([]Member, error)
}

// PathList is the URL path of the list.
const PathList = "/v1/instances"

// maxListBytes limits the size of the list. It is many times that of 1,500 processes.
const maxListBytes = 4 << 20

// HTTPLister reads the list over HTTP.
type HTTPLister struct {
	Client *http.Client
	// Address is the IP address and port of the platform.
	Address string
}

// List returns the members in the platform's list. Errors wrap ErrUnavailable.
func (l *HTTPLister) List(ctx context.Context) ([]Member, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Address+PathList, nil)
	if err != nil {
		return nil, l.failure(err)
	}
	response, err := l.Client.Do(request)
	if err != nil {
		return nil, l.failure(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, l.failure(fmt.Errorf("status %d", response.StatusCode))
	}
	var members []Member
	if err := httpbody.DecodeJSON(response.Body, maxListBytes, &members); err != nil {
		return nil, l.failure(err)
	}
	if slices.ContainsFunc(members, func(m Member) bool { return m.ID == "" }) {
		return nil, l.failure(errors.New("member without an ID"))
	}
	return members, nil
}

func (l *HTTPLister) failure(err error) error {
	return oops.In("platform").Code("list_failed").With("platform", l.Address).Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
}
