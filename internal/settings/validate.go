package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// shutdownMarginMS is what the default shutdown deadline adds to the longest
// request. A longer drain grace would cut requests off.
const shutdownMarginMS = 5000

// Mistake is one mistake in a settings file.
type Mistake struct {
	// Line and Column are the position of the value, counted from 1; the column
	// counts bytes.
	Line, Column int
	Message      string
}

// MistakesError lists all mistakes of a settings file.
type MistakesError struct {
	Path     string
	Mistakes []Mistake
}

func (e *MistakesError) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", e.Path, m.Line, m.Column, m.Message)
	}
	return strings.Join(lines, "\n")
}

// Parse checks the text of a settings file. Path names it in messages.
func Parse(path string, data []byte) (Entry, error) {
	var entry Entry
	c := newChecker(data, &entry)
	if root, ok := c.parse(); ok {
		c.rules(root, entry)
	}
	return entry, c.result(path)
}

// newChecker returns a checker that fills the fields of into, a pointer to a
// struct.
func newChecker(data []byte, into any) *checker {
	return &checker{data: data, fields: fieldsByName(into), values: map[string]hujson.Value{}}
}

// parse reads the file and reports whether its syntax is right.
func (c *checker) parse() (root hujson.Value, ok bool) {
	root, err := hujson.Parse(c.data)
	if err != nil {
		c.syntax(err)
		return root, false
	}
	c.object(root)
	return root, true
}

// checker collects the mistakes of one file.
type checker struct {
	data []byte
	// fields are pointers to the fields by their JSON names.
	fields   map[string]any
	values   map[string]hujson.Value
	mistakes []Mistake
}

func (c *checker) result(path string) error {
	if len(c.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(c.mistakes, func(a, b Mistake) int {
		return cmp.Or(a.Line-b.Line, a.Column-b.Column)
	})
	return &MistakesError{Path: path, Mistakes: c.mistakes}
}

// addAt adds a mistake at a byte offset.
func (c *checker) addAt(offset int, format string, args ...any) {
	before := c.data[:min(offset, len(c.data))]
	c.mistakes = append(c.mistakes, Mistake{
		Line:    bytes.Count(before, []byte("\n")) + 1,
		Column:  len(before) - bytes.LastIndexByte(before, '\n'),
		Message: fmt.Sprintf(format, args...),
	})
}

// syntax adds an error of the parser, whose text begins with its position.
func (c *checker) syntax(err error) {
	m := Mistake{Line: 1, Column: 1, Message: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(m.Message, "hujson: line %d, column %d:", &line, &column); n == 2 {
		m = Mistake{Line: line, Column: column, Message: strings.SplitN(m.Message, ": ", 3)[2]}
	}
	c.mistakes = append(c.mistakes, m)
}

// object reads the members of the file into the entry.
func (c *checker) object(root hujson.Value) {
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		c.addAt(root.StartOffset, "the file must hold an object")
		return
	}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field, known := c.fields[name]
		_, twice := c.values[name]
		switch {
		case !known:
			c.addAt(member.Name.StartOffset, "unknown setting %q", name)
		case twice:
			c.addAt(member.Name.StartOffset, "setting %q is given twice", name)
		default:
			c.values[name] = member.Value
			c.decode(name, member.Value, field)
		}
	}
}

// fieldsByName returns pointers to the fields of a struct by their JSON names.
func fieldsByName(into any) map[string]any {
	value := reflect.ValueOf(into).Elem()
	fields := make(map[string]any, value.NumField())
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = value.Field(i).Addr().Interface()
	}
	return fields
}

func (c *checker) decode(name string, value hujson.Value, into any) {
	standard := value.Clone()
	standard.Standardize()
	err := json.Unmarshal(standard.Pack(), into)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		c.addAt(value.StartOffset, "setting %q cannot be a %s", name, wrongType.Value)
	case err != nil:
		c.addAt(value.StartOffset, "setting %q: %v", name, err)
	}
}

// rules checks the values.
func (c *checker) rules(root hujson.Value, entry Entry) {
	c.required(root, "instance", "region", "failure_domain", "caller_address", "admin_address", "platform_address")
	for _, name := range []string{"instance", "region", "failure_domain"} {
		c.notEmpty(name)
	}
	if entry.StoreAddress == "" && entry.PipelineFiles == "" {
		c.addAt(root.StartOffset, "one of \"store_address\" and \"pipeline_files\" is needed")
	}
	c.addresses("caller_address", "peer_address", "advertise_address", "admin_address", "store_address", "platform_address")
	c.limits(entry)
}

// required checks that settings are given.
func (c *checker) required(root hujson.Value, names ...string) {
	for _, name := range names {
		if _, given := c.values[name]; !given {
			c.addAt(root.StartOffset, "setting %q is missing", name)
		}
	}
}

func (c *checker) notEmpty(name string) {
	value, given := c.values[name]
	if literal, ok := value.Value.(hujson.Literal); given && ok && literal.String() == "" {
		c.addAt(value.StartOffset, "setting %q is empty", name)
	}
}

// addresses checks the form of all addresses and that none is used twice. Only
// the platform may serve its store and its instance list at one address.
func (c *checker) addresses(names ...string) {
	taken := map[netip.AddrPort]string{}
	for _, name := range names {
		value, given := c.values[name]
		if !given {
			continue
		}
		address, ok := c.address(name, value)
		if !ok {
			continue
		}
		other, twice := taken[address]
		if twice && !(name == "platform_address" && other == "store_address") {
			c.addAt(value.StartOffset, "setting %q has the same address as %q", name, other)
		}
		taken[address] = name
	}
	c.peers()
}

// address reads an IP number with a port other than 0.
func (c *checker) address(name string, value hujson.Value) (netip.AddrPort, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return netip.AddrPort{}, false // decode has reported the wrong type
	}
	address, err := netip.ParseAddrPort(literal.String())
	if err != nil || address.Port() == 0 {
		c.addAt(value.StartOffset, "setting %q: %q is not an IP number with a port", name, literal.String())
		return netip.AddrPort{}, false
	}
	return address, true
}

func (c *checker) peers() {
	array, ok := c.values["peers"].Value.(*hujson.Array)
	if !ok {
		return
	}
	seen := map[netip.AddrPort]bool{}
	for _, element := range array.Elements {
		address, ok := c.address("peers", element)
		if !ok {
			continue
		}
		if seen[address] {
			c.addAt(element.StartOffset, "setting \"peers\" lists %s twice", address)
		}
		seen[address] = true
	}
}

// limits checks the durations of a shutdown.
func (c *checker) limits(entry Entry) {
	for name, limit := range map[string]int64{"drain_grace_ms": entry.DrainGraceMS, "shutdown_deadline_ms": entry.ShutdownDeadlineMS} {
		if limit < 0 {
			c.addAt(c.values[name].StartOffset, "setting %q is negative", name)
		}
	}
	grace, deadline := entry.DrainGrace().Milliseconds(), entry.ShutdownDeadlineMS
	switch {
	case deadline > 0 && grace >= deadline:
		c.addAt(c.values["shutdown_deadline_ms"].StartOffset, "the drain grace of %d ms leaves no time before the shutdown deadline", grace)
	case deadline == 0 && grace >= shutdownMarginMS:
		c.addAt(c.values["drain_grace_ms"].StartOffset,
			"a drain grace of %d ms needs \"shutdown_deadline_ms\", whose default leaves %d ms", grace, shutdownMarginMS)
	}
}
