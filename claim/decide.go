package claim

import "time"

// overlay holds the uncommitted changes of one append on top of a shard. They
// become part of the shard once the append is written to the store.
type overlay struct {
	shard          *Shard
	changed        map[ID]indexEntry
	removed        map[ID]bool
	releasedTokens map[Token]int64
}

func newOverlay(s *Shard) *overlay {
	return &overlay{shard: s, changed: map[ID]indexEntry{}, removed: map[ID]bool{}, releasedTokens: map[Token]int64{}}
}

// lookUp returns the entry of a claim that has not expired.
func (o *overlay) lookUp(now time.Time, id ID) (indexEntry, bool) {
	entry, ok := o.changed[id]
	if !ok && !o.removed[id] {
		entry, ok = o.shard.index[id]
	}
	return entry, ok && entry.expiresMS > now.UnixMilli()
}

func (o *overlay) isReleased(token Token) bool {
	_, before := o.shard.releasedTokens[token]
	_, here := o.releasedTokens[token]
	return before || here
}

// decide returns the decision on an operation and whether a record must be written
// for it.
func (o *overlay) decide(now time.Time, op Op) (decision Decision, needsRecord bool) {
	entry, ok := o.lookUp(now, op.ID)
	own := ok && entry.token == op.Token
	switch op.Kind {
	case OpClaim:
		return o.decideClaim(op, entry, ok)
	case OpFinish:
		if !own {
			return Decision{Verdict: NotHeld}, false
		}
		return Decision{Verdict: Done}, entry.outcome == noName
	default:
		if own && entry.outcome != noName {
			return Decision{Verdict: NotHeld}, false
		}
		// A release is recorded even if its claim is absent: the claim may still be on
		// its way to the store, and the record makes its write fail.
		return Decision{Verdict: Done}, own || !o.isReleased(op.Token)
	}
}

func (o *overlay) decideClaim(op Op, entry indexEntry, exists bool) (decision Decision, needsRecord bool) {
	if o.isReleased(op.Token) {
		return Decision{Verdict: TokenReleased}, false
	}
	if !exists {
		return Decision{Verdict: Granted, Token: op.Token, Holder: op.Holder}, true
	}
	decision = Decision{
		Holder:  o.shard.names.name(entry.holder),
		Token:   entry.token,
		Outcome: o.shard.names.name(entry.outcome),
	}
	switch {
	case entry.bodySHA256 != op.BodySHA256:
		decision = Decision{Verdict: BodyMismatch}
	case entry.outcome != noName:
		decision.Verdict = AlreadyFinished
		decision.Segment = entry.segment
	case entry.token == op.Token:
		decision.Verdict = Granted
	default:
		decision.Verdict = Running
	}
	return decision, false
}

// apply adds the changes of a record that is about to be written.
func (o *overlay) apply(r *StoredRecord, segment uint64) {
	id, token := ID(r.Id), Token(r.Token)
	if r.Op != RecordOp_RECORD_OP_RELEASE {
		o.changed[id] = o.shard.entry(r, segment)
		delete(o.removed, id)
		return
	}
	o.releasedTokens[token] = r.AtMs + r.RetentionMs
	entry, ok := o.changed[id]
	if !ok {
		entry = o.shard.index[id]
	}
	if entry.token == token {
		delete(o.changed, id)
		o.removed[id] = true
	}
}

// commit applies the changes to the shard.
func (o *overlay) commit() {
	for id := range o.removed {
		delete(o.shard.index, id)
	}
	for id, entry := range o.changed {
		o.shard.index[id] = entry
	}
	for token, expiresMS := range o.releasedTokens {
		o.shard.releasedTokens[token] = expiresMS
	}
}

// apply applies a record from the store. It isn't checked again, because its writer
// checked it against the chain.
func (s *Shard) apply(r *StoredRecord, segment uint64) {
	o := newOverlay(s)
	o.apply(r, segment)
	o.commit()
}

func (s *Shard) entry(r *StoredRecord, segment uint64) indexEntry {
	return indexEntry{
		token:      Token(r.Token),
		bodySHA256: Digest(r.Body),
		expiresMS:  r.AtMs + r.RetentionMs,
		segment:    segment,
		holder:     s.names.index(r.Holder),
		outcome:    s.names.index(r.Outcome),
	}
}

// nameIndex is the index of a holder or outcome in a nameTable.
type nameIndex uint32

// noName is the index of the empty string.
const noName nameIndex = 0

// nameTable interns the names of holders and outcomes, so that index entries hold
// no strings.
type nameTable struct {
	names   []string
	indexes map[string]nameIndex
}

func (t *nameTable) name(i nameIndex) string {
	if i == noName {
		return ""
	}
	return t.names[i-1]
}

func (t *nameTable) index(name string) nameIndex {
	if name == "" {
		return noName
	}
	if i, ok := t.indexes[name]; ok {
		return i
	}
	if t.indexes == nil {
		t.indexes = map[string]nameIndex{}
	}
	t.names = append(t.names, name)
	i := nameIndex(len(t.names))
	t.indexes[name] = i
	return i
}
