package backend

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
)

// LoadReport is the load that a backend server reported last. It lags behind the
// actual load.
type LoadReport struct {
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	Slots   int
	// Age is the age of the report when it was sent.
	Age time.Duration
}

// LoadReader reads load reports.
type LoadReader interface {
	Load(ctx context.Context, server Server) (LoadReport, error)
}

// maxLoadBytes limits the size of a load report.
const maxLoadBytes = 4 << 10

// HTTPLoadReader reads load reports over HTTP.
type HTTPLoadReader struct {
	Client *http.Client
}

// Load returns the server's last report.
func (l *HTTPLoadReader) Load(ctx context.Context, server Server) (LoadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+PathLoad, nil)
	if err != nil {
		return LoadReport{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := l.Client.Do(request)
	if err != nil {
		return LoadReport{}, fmt.Errorf("%w: load report: %w", ErrBadAnswer, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return LoadReport{}, fmt.Errorf("%w: load report: status %d", ErrBadAnswer, response.StatusCode)
	}
	var wire WireLoad
	if err := httpbody.DecodeJSON(response.Body, maxLoadBytes, &wire); err != nil {
		return LoadReport{}, fmt.Errorf("%w: load report: %w", ErrBadAnswer, err)
	}
	return LoadReport{
		Running: wire.Running,
		Waiting: wire.Waiting,
		Slots:   wire.Slots,
		Age:     time.Duration(wire.AgeMS) * time.Millisecond,
	}, nil
}
