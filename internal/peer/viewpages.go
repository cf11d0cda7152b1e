package peer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/transfer"
)

// viewPageBytes bounds the keys and values of a page of a view that has more than one entry.
// With the largest entry and the encoding, a page stays below maxResponseBytes.
const viewPageBytes = maxResponseBytes / 2

func entryBytes(e store.Entry) int { return len(e.Key) + len(e.Value) }

// viewPage returns the entries of the page that begins after a key, and the key after which the
// next page begins, empty for the last page. It sorts the entries if there are several pages.
func viewPage(entries []store.Entry, after string) (page []store.Entry, next string) {
	total := 0
	for _, e := range entries {
		total += entryBytes(e)
	}
	if after == "" && total <= viewPageBytes {
		return entries, ""
	}
	slices.SortFunc(entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	entries = slices.DeleteFunc(entries, func(e store.Entry) bool { return e.Key <= after })
	size := 0
	for i, e := range entries {
		size += entryBytes(e)
		if i > 0 && size > viewPageBytes {
			return entries[:i], entries[i-1].Key
		}
	}
	return entries, ""
}

// errViewReplaced reports a peer whose further page does not belong to the first one.
var errViewReplaced = errors.New("pages of a view do not belong together")

// PullView returns the changes after a version that a peer has read from the store, or all
// entries. The result has version 0 when the peer has nothing newer. A large view comes in
// pages. As in a list of the store, later pages may be newer than the version, which is that of
// the first one. The first byte of each page must arrive within start. onData is called when a
// part of an answer has arrived; nil for none.
func (c *Client) PullView(ctx context.Context, address string, haveVersion store.Version, start time.Duration, onData func()) (store.Changes, error) {
	ctx = transfer.WithCall(ctx, start, onData)
	request := &peerpb.PullViewRequest{HaveVersion: int64(haveVersion), Paged: true}
	first, err := c.pullViewPage(ctx, address, request)
	if err != nil {
		return store.Changes{}, err
	}
	changes := store.Changes{Base: store.Version(first.Base)}
	changes.Version, changes.Deleted = store.Version(first.Version), first.Deleted
	changes.Awaited = mapSlice(first.Awaited, decodeAwaited)
	for page := first; ; {
		changes.Changed = append(changes.Changed, mapSlice(page.Entries, decodeEntry)...)
		if page.NextAfterKey == "" {
			return changes, nil
		}
		if page.NextAfterKey <= request.AfterKey {
			return store.Changes{}, fmt.Errorf("%w: page after %q ends at %q", errViewReplaced, request.AfterKey, page.NextAfterKey)
		}
		request.AfterKey = page.NextAfterKey
		if page, err = c.pullViewPage(ctx, address, request); err != nil {
			return store.Changes{}, err
		}
		if page.Base != first.Base || page.Version < first.Version {
			return store.Changes{}, errViewReplaced
		}
	}
}

// pullViewPage pulls one page. When no answer begins in time, it is called once more on a new
// connection, because the one that was kept may be silent.
func (c *Client) pullViewPage(ctx context.Context, address string, request *peerpb.PullViewRequest) (*peerpb.PullViewResponse, error) {
	peer := peerpb.NewPeerProtobufClient("http://"+address, c.pulls)
	response, err := peer.PullView(ctx, request)
	if errors.Is(err, transfer.ErrNoAnswer) && ctx.Err() == nil {
		c.pulls.CloseIdleConnections()
		response, err = peer.PullView(ctx, request)
	}
	return response, fromTwirp(err, "pull_view", address)
}
