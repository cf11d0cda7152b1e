package view

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// fakeDecoder decodes configurations that consist of a version, and servers in the form
// "SERVICE" or "SERVICE draining".
type fakeDecoder struct{}

func (fakeDecoder) Kind(key string) KeyKind {
	switch {
	case key == "config":
		return KeyConfiguration
	case strings.HasPrefix(key, "server/"):
		return KeyServer
	case strings.HasPrefix(key, "evacuate/"):
		return KeyEvacuation
	}
	return KeyOther
}

func (fakeDecoder) Configuration(value []byte) (route.Configuration, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	return route.Configuration{Version: version}, err
}

func (fakeDecoder) Server(key string, value []byte) (Server, error) {
	service, state, _ := strings.Cut(string(value), " ")
	if service == "" {
		return Server{}, errors.New("no service")
	}
	id := strings.TrimPrefix(key, "server/")
	return Server{ID: id, Service: service, Address: id, FailureDomain: "domain-of-" + service, Draining: state == "draining"}, nil
}

func (fakeDecoder) EvacuatedDomain(key string) (string, error) {
	domain := strings.TrimPrefix(key, "evacuate/")
	if domain == "" {
		return "", errors.New("no failure domain")
	}
	return domain, nil
}

func entry(key, value string, version store.Version) store.Entry {
	return store.Entry{Key: key, Value: []byte(value), Version: version}
}

// Guards against a quarantine that is unknown to the instances that pull the view from others,
// and one that stays in the view after its end.
func TestQuarantinesReachPeers(t *testing.T) {
	c := qt.New(t)
	s, peer := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	change := s.Apply(epoch, watchResult(1, entry("config", "1", 1), entry(QuarantinePrefix+"q", "v", 1), entry("other", "v", 1)))
	c.Assert(change.Quarantines, qt.IsTrue)
	peer.Merge(epoch, s.ChangesAfter(0))
	c.Assert(peer.View().Quarantines, qt.DeepEquals, []store.Entry{entry(QuarantinePrefix+"q", "v", 1)})
	removal := watchResult(2)
	removal.Deleted = []string{QuarantinePrefix + "q"}
	c.Assert(s.Apply(epoch, removal).Quarantines, qt.IsTrue)
	peer.Merge(epoch, s.ChangesAfter(1))
	c.Assert(peer.View().Quarantines, qt.HasLen, 0)
}

// Guards against a server that said that it leaves and is used again because its entry in
// the store still says that it is ready, and against one that is not used after it has
// started again under the same ID.
func TestLeavingServerStaysOut(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	s.Apply(epoch, watchResult(1, entry("config", "1", 1), entry("server/a", "x", 1)))
	server, _ := s.View().ByID("a")
	incarnation := server.Incarnation
	c.Assert(s.MarkLeaving("a", incarnation+1).Any(), qt.IsFalse)
	c.Assert(s.MarkLeaving("a", incarnation).Drained, qt.DeepEquals, []string{"a"})
	c.Assert(s.MarkLeaving("a", incarnation).Any(), qt.IsFalse)
	s.Apply(epoch, watchResult(2, entry("server/a", "x", 2)))
	c.Assert(s.View().Servers, qt.HasLen, 0)
	s.leaving["a"] = incarnation + 1
	s.Apply(epoch, watchResult(3, entry("server/a", "x", 3)))
	c.Assert(s.View().Servers, qt.HasLen, 1)
}

// Guards against a view that stays at the entries of a store that was restored from a
// backup, or that takes over its old state: an older configuration, servers that have left
// or drain since, and the lack of servers that have registered since.
func TestRestoredStore(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	before := func(revision int64) store.Version { return store.NewVersion(1, revision) }
	after := func(revision int64) store.Version { return store.NewVersion(2, revision) }
	s.Replace(epoch, []store.Entry{entry("config", "3", before(10)), entry("server/ready", "x", before(11)),
		entry("server/draining", "x", before(12)), entry("server/left", "x", before(13))}, before(20))
	s.Apply(epoch, watchResult(before(30), entry("config", "4", before(21)), entry("server/draining", "x draining", before(22)), entry("server/new", "x", before(23))))
	s.Apply(epoch, store.WatchResult{Deleted: []string{"server/left"}, Version: before(31)})

	change := s.Replace(epoch, []store.Entry{entry("config", "3", after(10)), entry("server/ready", "x", after(11)),
		entry("server/draining", "x", after(12)), entry("server/left", "x", after(13))}, after(20))
	c.Assert(change.Restored, qt.IsTrue)
	c.Assert(s.View().Table.Version, qt.Equals, int64(4))
	c.Assert(serverIDs(s.View()), qt.DeepEquals, []string{"new", "ready"})
	s.Tick(epoch.Add(2 * reregisterGracePeriod))
	c.Assert(serverIDs(s.View()), qt.DeepEquals, []string{"ready"})

	s.Apply(epoch, watchResult(after(21), entry("server/left", "x", after(21)), entry("server/draining", "x", after(21)), entry("config", "5", after(21))))
	c.Assert(serverIDs(s.View()), qt.DeepEquals, []string{"left", "ready"}, qt.Commentf("one writes its entry again, the other still drains"))
	c.Assert(s.View().Table.Version, qt.Equals, int64(5))
	c.Assert(s.Apply(epoch, watchResult(before(99), entry("config", "9", before(99)))).Any(), qt.IsFalse)
}

// Guards against a peer that follows a restored store only by the changes of another
// instance and does not notice that it was restored.
func TestRestoredStoreReachesPeers(t *testing.T) {
	c := qt.New(t)
	reader, follower := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	entries := []store.Entry{entry("config", "3", store.NewVersion(1, 10)), entry("server/a", "x", store.NewVersion(1, 11))}
	reader.Replace(epoch, entries, store.NewVersion(1, 20))
	follower.Replace(epoch, entries, store.NewVersion(1, 20))
	reader.Replace(epoch, []store.Entry{entry("config", "3", store.NewVersion(2, 10))}, store.NewVersion(2, 12))
	change := follower.Merge(epoch, reader.ChangesAfter(follower.Position()))
	c.Assert(change.Restored, qt.IsTrue)
	c.Assert(follower.View().Version, qt.Equals, reader.View().Version)
	c.Assert(serverIDs(follower.View()), qt.DeepEquals, []string{"a"}, qt.Commentf("it may register again"))
}

// serverIDs returns the IDs of the servers of service x in use.
func serverIDs(v *View) (ids []string) {
	for _, server := range v.Servers["x"] {
		ids = append(ids, server.ID)
	}
	return ids
}

func watchResult(version store.Version, entries ...store.Entry) store.WatchResult {
	return store.WatchResult{Changed: entries, Version: version}
}

var epoch = time.Unix(1000, 0)

// Guards against a configuration that reverts when an answer of the store or of a peer is
// older than the state.
func TestOlderVersionsAreIgnored(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	s.Replace(epoch, []store.Entry{entry("config", "7", 20)}, 20)
	c.Assert(s.Replace(epoch, []store.Entry{entry("config", "5", 10)}, 10).Any(), qt.IsFalse)
	c.Assert(s.Apply(epoch, watchResult(19, entry("config", "6", 19))).Any(), qt.IsFalse)
	c.Assert(s.Apply(epoch, watchResult(21, entry("config", "6", 21))).Any(), qt.IsFalse)
	c.Assert(s.View().Table.Version, qt.Equals, int64(7))
}

// Guards against peers that get the whole state for each change, and against a removal
// that never reaches a peer.
func TestPeersGetOnlyWhatChanged(t *testing.T) {
	c := qt.New(t)
	reader, follower := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	reader.Replace(epoch, []store.Entry{entry("config", "1", 10), entry("server/a", "x", 11), entry("server/b", "x", 12)}, 12)
	all := reader.ChangesAfter(0)
	c.Assert(all.Base, qt.Equals, store.Version(0))
	c.Assert(all.Changed, qt.HasLen, 3)
	follower.Merge(epoch, all)

	reader.Apply(epoch, store.WatchResult{Changed: []store.Entry{entry("server/c", "x", 14)}, Deleted: []string{"server/a"}, Version: 15})
	changes := reader.ChangesAfter(12)
	c.Assert(changes, qt.DeepEquals, store.Changes{Base: 12, WatchResult: store.WatchResult{
		Changed: []store.Entry{entry("server/c", "x", 14)}, Deleted: []string{"server/a"}, Version: 15}})
	change := follower.Merge(epoch, changes)
	c.Assert(change.Joined, qt.DeepEquals, []string{"c"})
	c.Assert(change.Left, qt.DeepEquals, []string{"a"})
	c.Assert(follower.Position(), qt.Equals, store.Version(15))

	// Changes that start at a version before the follower's position are ignored.
	follower.Apply(epoch, watchResult(17, entry("server/d", "x", 17)))
	reader.Apply(epoch, watchResult(18, entry("server/d", "x", 17)))
	c.Assert(follower.Merge(epoch, store.Changes{Base: 15, WatchResult: watchResult(18)}).Any(), qt.IsFalse)
	c.Assert(follower.Position(), qt.Equals, store.Version(17))
}

// Guards against a peer that misses removals which were dropped from the list, and against
// a list that grows without bound.
func TestPeersGetAllEntriesWhenRemovalsAreDropped(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	s.Replace(epoch, nil, 1)
	for i := range maxRemovals + 1 {
		at := store.Version(2*i + 2)
		s.Apply(epoch, watchResult(at, entry("server/a", "x", at)))
		s.Apply(epoch, store.WatchResult{Deleted: []string{"server/a"}, Version: at + 1})
	}
	c.Assert(s.removals, qt.HasLen, maxRemovals)
	c.Assert(s.ChangesAfter(2).Base, qt.Equals, store.Version(0))
	c.Assert(s.ChangesAfter(3).Base, qt.Equals, store.Version(3))
	c.Assert(s.ChangesAfter(3).Deleted, qt.HasLen, maxRemovals)
}

// Guards against requests to a server that drains or has been removed.
func TestDrainingAndRemovedServersAreNotListed(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	s.Replace(epoch, []store.Entry{entry("server/a", "x", 1), entry("server/b", "x", 2)}, 2)
	c.Assert(s.View().Servers["x"], qt.HasLen, 2)
	change := s.Apply(epoch, watchResult(3, entry("server/a", "x draining", 3)))
	c.Assert(change.Drained, qt.DeepEquals, []string{"a"})
	change = s.Apply(epoch, store.WatchResult{Deleted: []string{"server/b"}, Version: 4})
	c.Assert(change.Left, qt.DeepEquals, []string{"b"})
	c.Assert(s.View().Servers["x"], qt.HasLen, 0)
	// A server that is missing from a snapshot has left too.
	s.Apply(epoch, watchResult(5, entry("server/c", "x", 5)))
	left := s.Replace(epoch, nil, 6).Left
	slices.Sort(left)
	c.Assert(left, qt.DeepEquals, []string{"a", "c"})
}

// Guards against the loss of all servers when their leases expire during a store outage,
// and against the use of servers that do not register again afterwards.
func TestServersRemovedInOutageMayRegisterAgain(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	s.Replace(epoch, []store.Entry{entry("server/a", "x", 1), entry("server/b", "x", 1)}, 1)
	s.RecordOutage(epoch)
	s.Replace(epoch.Add(time.Second), nil, 2)
	c.Assert(s.View().Servers["x"], qt.HasLen, 2)
	s.Apply(epoch.Add(2*time.Second), watchResult(3, entry("server/a", "x", 3)))
	change := s.Tick(epoch.Add(time.Second + reregisterGracePeriod))
	c.Assert(change.Left, qt.DeepEquals, []string{"b"})
	c.Assert(s.View().Servers["x"], qt.HasLen, 1)
}

// Guards against a server that peers use until the next change of the view, because the
// instance that read its removal from the store kept it for a while after a failed call and
// announced nothing when it dropped it.
func TestRemovalsAfterAGracePeriodReachPeers(t *testing.T) {
	c := qt.New(t)
	reader, follower := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	for _, s := range []*State{reader, follower} {
		s.Replace(epoch, []store.Entry{entry("server/a", "x", 1)}, 1)
	}
	reader.RecordOutage(epoch)
	reader.RecordReach(epoch.Add(100 * time.Millisecond))
	removedAt := epoch.Add(time.Second)
	c.Assert(reader.Apply(removedAt, store.WatchResult{Deleted: []string{"server/a"}, Version: 2}).Any(), qt.IsFalse)
	c.Assert(reader.Tick(epoch.Add(100*time.Millisecond+reregisterGracePeriod)).Left, qt.DeepEquals, []string{"a"})
	c.Assert(reader.View().Version > follower.Position(), qt.IsTrue, qt.Commentf("peers pull what is newer than their position"))
	c.Assert(follower.Merge(removedAt, reader.ChangesAfter(follower.Position())).Left, qt.DeepEquals, []string{"a"})
}

// Guards against running servers that an instance drops while its peers wait for them to
// register again, because it made no call to the store in the outage and pulls another change.
func TestPeersWaitForTheServersThatTheReaderAwaits(t *testing.T) {
	c := qt.New(t)
	reader, follower := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	for _, s := range []*State{reader, follower} {
		s.Replace(epoch, []store.Entry{entry("server/a", "x", 1), entry("server/b", "x", 1)}, 1)
	}
	reader.RecordOutage(epoch)
	returned := epoch.Add(10 * time.Second)
	reader.RecordReach(returned)
	reader.Apply(returned, store.WatchResult{Deleted: []string{"server/a"}, Version: 2})
	reader.Apply(returned, watchResult(3, entry("config", "1", 3)))
	changes := reader.ChangesAfter(follower.Position())
	changes.Awaited = reader.AwaitedServers(returned)
	c.Assert(follower.Merge(returned, changes).Left, qt.HasLen, 0)
	c.Assert(follower.View().Servers["x"], qt.HasLen, 2)
	c.Assert(follower.Tick(returned.Add(reregisterGracePeriod)).Left, qt.DeepEquals, []string{"a"})
}

// Guards against a server that stays in use for seconds after it left, because a call to the
// store failed shortly before: no entry of a running server lapses in a short outage, nor in
// one of this instance's own path.
func TestRemovalsAfterShortOutagesApplyAtOnce(t *testing.T) {
	const heartbeat = time.Second
	for _, v := range []struct {
		outage, contact time.Duration
		atOnce          bool
	}{
		{outage: heartbeat, atOnce: true},
		{outage: minOutageOf(heartbeat)},
		{outage: 3 * heartbeat, contact: 2 * heartbeat}, // the contact follows the outage
		{outage: 3 * heartbeat, contact: heartbeat},
		{outage: 3 * heartbeat, contact: heartbeat + heartbeat/2, atOnce: true},
	} {
		c := qt.New(t)
		s := NewState(fakeDecoder{})
		s.SetServerHeartbeat(heartbeat)
		s.Replace(epoch, []store.Entry{entry("server/a", "x", 1)}, 1)
		s.RecordReach(epoch)
		s.RecordOutage(epoch.Add(heartbeat / 10))
		if v.contact > 0 {
			s.RecordReach(epoch.Add(v.contact))
			s.RecordOutage(epoch.Add(v.contact + heartbeat/10))
		}
		s.RecordReach(epoch.Add(v.outage))
		change := s.Apply(epoch.Add(v.outage), store.WatchResult{Deleted: []string{"server/a"}, Version: 2})
		c.Check(len(change.Left) == 1, qt.Equals, v.atOnce, qt.Commentf("%+v", v))
	}
}

// Guards against running servers that are dropped in an outage of the store, because a report of
// contact before it, which had waited on its way, was taken for its end.
func TestLateReportsOfContactDoNotEndAnOutage(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	s.Replace(epoch, []store.Entry{entry("server/a", "x", 1)}, 1)
	s.RecordReach(epoch)
	s.RecordOutage(epoch.Add(100 * time.Millisecond))
	s.RecordReach(epoch.Add(50 * time.Millisecond))
	s.RecordReach(epoch.Add(-time.Second))
	change := s.Apply(epoch.Add(s.minOutage+50*time.Millisecond), store.WatchResult{Deleted: []string{"server/a"}, Version: 2})
	c.Assert(change.Left, qt.HasLen, 0)
}

// Guards against reports of contact with the store that count from their arrival, so that an
// outage seems shorter than it was.
func TestContactWithTheStoreCountsFromItsTime(t *testing.T) {
	c := qt.New(t)
	s := newTestSync(&fakeSource{}, &fakePeers{announced: make(chan store.Version, 10)})
	s.RecordStoreContact(StoreContact{Version: 1, Address: "reader", Waited: time.Second})
	c.Assert(time.Since(s.state.reachedAt) >= time.Second, qt.IsTrue)
}

// Guards against a server that stays in use for seconds after it left, because a call to the
// store failed some time before.
func TestRemovalsLongAfterAnOutageApplyAtOnce(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	s.Replace(epoch, []store.Entry{entry("server/a", "x", 1)}, 1)
	s.RecordOutage(epoch)
	s.RecordReach(epoch.Add(100 * time.Millisecond))
	change := s.Apply(epoch.Add(100*time.Millisecond+reregisterGracePeriod), store.WatchResult{Deleted: []string{"server/a"}, Version: 2})
	c.Assert(change.Left, qt.DeepEquals, []string{"a"})
}

// Guards against a server that stays in use for good because its entry was overwritten by
// one that can't be decoded before it was removed, at the instance that reads the store and
// at one that pulls from it.
func TestServersWithUndecodableEntriesAreRemoved(t *testing.T) {
	c := qt.New(t)
	for _, replaced := range []bool{true, false} {
		reader, follower := NewState(fakeDecoder{}), NewState(fakeDecoder{})
		for _, s := range []*State{reader, follower} {
			s.Replace(epoch, []store.Entry{entry("server/a", "x", 1)}, 1)
		}
		change := reader.Apply(epoch, watchResult(2, entry("server/a", "", 2)))
		c.Assert(change.Rejected, qt.HasLen, 1)
		c.Assert(reader.View().Servers["x"], qt.HasLen, 1)
		if replaced {
			change = reader.Replace(epoch, nil, 3)
		} else {
			change = reader.Apply(epoch, store.WatchResult{Deleted: []string{"server/a"}, Version: 3})
		}
		c.Assert(change.Left, qt.DeepEquals, []string{"a"})
		c.Assert(reader.View().Version, qt.Equals, store.Version(3))
		c.Assert(follower.Merge(epoch, reader.ChangesAfter(1)).Left, qt.DeepEquals, []string{"a"})
	}
}

// Guards against a server that a peer uses for good although it has left: the instance that
// the peer pulls from read all entries while the server's was removed, at a version between
// that of the read and the removal.
func TestRemovalsDuringAFullReadReachPeers(t *testing.T) {
	c := qt.New(t)
	for _, known := range []bool{true, false} {
		reader, follower := NewState(fakeDecoder{}), NewState(fakeDecoder{})
		follower.Replace(epoch, []store.Entry{entry("server/a", "x", 1), entry("config", "1", 1)}, 12)
		if known {
			reader.Replace(epoch, []store.Entry{entry("server/a", "x", 1)}, 9)
		}
		// The read begins at version 10, and the entry is removed at 13.
		reader.Replace(epoch, []store.Entry{entry("config", "1", 1)}, 10)
		change := reader.Apply(epoch, store.WatchResult{Deleted: []string{"server/a"}, Version: 14})
		c.Assert(change.Any(), qt.IsTrue, qt.Commentf("the version is announced to peers"))
		c.Assert(reader.View().Version, qt.Equals, store.Version(14))
		c.Assert(follower.Merge(epoch, reader.ChangesAfter(12)).Left, qt.DeepEquals, []string{"a"})
	}
}

// Guards against the same when the watch after the full read has lost its history, so that a
// second full read follows.
func TestRemovalsBetweenFullReadsReachPeers(t *testing.T) {
	c := qt.New(t)
	reader, follower := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	entries := []store.Entry{entry("server/a", "x", 1), entry("config", "1", 1)}
	follower.Replace(epoch, entries, 12)
	reader.Replace(epoch, entries, 9)
	reader.Replace(epoch, entries[1:], 10)
	reader.Replace(epoch, entries[1:], 15)
	c.Assert(follower.Merge(epoch, reader.ChangesAfter(12)).Left, qt.DeepEquals, []string{"a"})
}

// Guards against an undecodable entry that keeps the others from being applied.
func TestUndecodableEntriesAreSkipped(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	change := s.Replace(epoch, []store.Entry{entry("server/a", "", 1), entry("server/b", "x", 1), entry("config", "?", 1)}, 1)
	c.Assert(change.Rejected, qt.HasLen, 2)
	c.Assert(s.View().Servers["x"], qt.HasLen, 1)
	c.Assert(s.View().Table, qt.IsNil)
}

// Guards against a server that its peers stop using although it has registered again in a
// restored store, because it stayed in use at the reader.
func TestServerThatRegistersAgainReachesPeers(t *testing.T) {
	c := qt.New(t)
	s, peer := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	s.Replace(epoch, []store.Entry{entry("config", "1", 1), entry("server/a", "x", 1)}, store.NewVersion(1, 5))
	peer.Merge(epoch, s.ChangesAfter(0))
	s.Replace(epoch, []store.Entry{entry("config", "1", 1)}, store.NewVersion(2, 3))
	s.Apply(epoch, watchResult(store.NewVersion(2, 4), entry("server/b", "x", store.NewVersion(2, 4))))
	peer.Merge(epoch, s.ChangesAfter(peer.Position()))
	again := store.NewVersion(2, 5)
	s.Apply(epoch, watchResult(again, entry("server/a", "x", again)))
	c.Assert(s.View().Version, qt.Equals, again) // peers pull the versions of views
	peer.Merge(epoch, s.ChangesAfter(peer.Position()))
	peer.Tick(epoch.Add(reregisterGracePeriod))
	c.Assert(peer.View().Servers["x"], qt.HasLen, 2)
}

// Guards against large values of other writers that make a view larger than a peer may answer,
// so that no other instance can pull it, and that fill the memory of all instances.
func TestLargeValuesOfOtherWritersAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	large := strings.Repeat("x", store.MaxValueBytes)
	foreign := []store.Entry{entry("config", "1", 1), entry("server/a", "a", 2), entry("other", large, 3), entry(QuarantinePrefix+"q", large, 4), entry("evacuate/d", large, 5)}
	for i := range 16 {
		foreign = append(foreign, entry(fmt.Sprint("server/foreign-", i), large, store.Version(6+i)))
	}
	now := time.Now()
	listed, watched := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	c.Check(listed.Replace(now, foreign, 30).Rejected, qt.HasLen, 16)
	watched.Replace(now, nil, 1)
	c.Check(watched.Apply(now, store.WatchResult{Version: 30, Changed: foreign}).Rejected, qt.HasLen, 16)
	for _, s := range []*State{listed, watched} {
		changes, size := s.ChangesAfter(0), 0
		for _, e := range changes.Changed {
			size += len(e.Value)
		}
		c.Check(size, qt.Equals, len("1")+len("a"))
		peer := NewState(fakeDecoder{})
		peer.Merge(now, changes)
		c.Check(peer.View().Table.Version, qt.Equals, int64(1))
		c.Check(peer.View().Servers["a"], qt.HasLen, 1)
		c.Check(peer.View().Evacuated, qt.DeepEquals, []string{"d"})
	}
}
