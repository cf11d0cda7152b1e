package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a list that is incomplete, or part of a larger or other answer, and that
// is taken for the whole list of instances.
func TestIncompleteListsAreErrors(t *testing.T) {
	member := `{"id":"a","role":"entry","address":"10.0.0.1:80","region":"r","failure_domain":"d","state":"live"}`
	for _, test := range []struct {
		name, body string
		complete   bool
	}{
		{"whole", `[` + member + `]`, true},
		{"empty", `[]`, true},
		{"cut off", `[` + member, false},
		{"followed by another", `[` + member + `][]`, false},
		{"member without an ID", `[{"role":"entry"}]`, false},
		{"too large", `[` + member + strings.Repeat(" ", maxListBytes) + `]`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, test.body) }))
			c.Cleanup(server.Close)
			lister := HTTPLister{Client: http.DefaultClient, Address: server.Listener.Addr().String()}
			_, err := lister.List(t.Context())
			if test.complete {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorIs, ErrUnavailable)
		})
	}
}
