package view

import (
	"fmt"
	"strings"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// maxValueBytes is the size of the largest value that is read of an entry other than the
// configuration. Those that servers and instances write have at most some kilobytes. Other
// writers may leave as much as the store accepts, under any number of keys.
const maxValueBytes = 64 << 10

// errNoValue reports the entry of a server that has no value, or one that was dropped.
var errNoValue = fmt.Errorf("entry has no value, or one of more than %d bytes", maxValueBytes)

// KindOf returns the kind of data under a key of the store.
func KindOf(decoder Decoder, key string) KeyKind {
	if strings.HasPrefix(key, QuarantinePrefix) {
		return KeyQuarantine
	}
	return decoder.Kind(key)
}

// WithoutLargeValue returns an entry without its value if that is over maxValueBytes. A Source
// applies it to each entry that it reads, so that the values of other writers neither stay in
// memory nor make a view too large for a peer.
func WithoutLargeValue(decoder Decoder, e store.Entry) store.Entry {
	if len(e.Value) > maxValueBytes && KindOf(decoder, e.Key) != KeyConfiguration {
		e.Value = nil
	}
	return e
}
