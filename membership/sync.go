package membership

import (
	"slices"
	"strings"
)

// An instance that learns that another one knows more live members requests their
// records page by page. Without it, a new instance of a large failure domain would
// wait for the last few records until their turn in heartbeats.
const (
	// syncPauseTicks is the least number of ticks between two synchronisations.
	syncPauseTicks = 1
	// maxSyncRetries is how often a page is requested again that did not arrive.
	maxSyncRetries = 2
)

// SyncRequest requests the records of live members by their ID.
type SyncRequest struct {
	// After is the ID after which the page starts, empty for the first page.
	After string
}

// SyncReply marks a message whose records are a page that was requested.
type SyncReply struct {
	// Last is true on the last page.
	Last bool
}

// synchronisation is the state of the requests to one instance.
type synchronisation struct {
	// address is empty while no page is requested.
	address string
	after   string
	// answered is true when a page has arrived since the last tick.
	answered bool
	retries  int
	// nextTick is the first tick at which another synchronisation may start.
	nextTick int
}

// considerSync starts a synchronisation with the sender of a message if it knows more
// live members.
func (s *State) considerSync(message Message) {
	if s.sync.address != "" || s.ticks < s.sync.nextTick || message.LiveMembers <= len(s.live())+1 {
		return
	}
	s.sync = synchronisation{address: message.From.Address}
	s.requestPage()
}

func (s *State) requestPage() {
	request := s.urgentMessage(nil, nil)
	request.SyncRequest = &SyncRequest{After: s.sync.after}
	s.send(s.sync.address, request)
}

// receiveSync answers a request for a page, or requests the page after a received one.
func (s *State) receiveSync(message Message) {
	if message.SyncRequest != nil {
		s.sendPage(message.From.Address, message.SyncRequest.After)
	}
	if message.SyncReply == nil || message.From.Address != s.sync.address {
		return
	}
	if message.SyncReply.Last || len(message.Records) == 0 {
		s.endSync()
		return
	}
	s.sync.after = message.Records[len(message.Records)-1].ID
	s.sync.answered, s.sync.retries = true, 0
	s.requestPage()
}

func (s *State) sendPage(address, after string) {
	live := s.live()
	start, found := slices.BinarySearchFunc(live, after, func(m *member, id string) int { return strings.Compare(m.record.ID, id) })
	if found {
		start++
	}
	page, budget := s.newMessage()
	rest := live[start:]
	page.Records = fillFrom(budget, budget.remaining, len(rest), func(i int) Record { return rest[i].record }, new(int))
	page.SyncReply = &SyncReply{Last: len(page.Records) == len(rest)}
	s.send(address, page)
}

// advanceSync requests a page again that has not arrived since the last tick.
func (s *State) advanceSync() {
	switch {
	case s.sync.address == "":
	case s.sync.answered:
		s.sync.answered = false
	case s.sync.retries >= maxSyncRetries:
		s.endSync()
	default:
		s.sync.retries++
		s.requestPage()
	}
}

func (s *State) endSync() {
	s.sync = synchronisation{nextTick: s.ticks + syncPauseTicks}
}
