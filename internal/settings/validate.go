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

// shutdownMarginMS is the time in milliseconds that the default shutdown deadline
// adds to the longest request deadline. A longer drain grace would abort requests.
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

// Parse parses and checks the settings file of an entry instance. The path is only
// used in messages. The error is a *MistakesError.
func Parse(path string, data []byte) (Entry, error) {
	var entry Entry
	c := newChecker(data, &entry)
	if root, ok := c.parse(); ok {
		c.checkEntry(root, entry)
	}
	return entry, c.err(path)
}

// newChecker returns a checker that decodes data into the struct that into points
// to.
func newChecker(data []byte, into any) *checker {
	return &checker{data: data, fields: fieldsByName(into), values: map[string]hujson.Value{}}
}

// parse parses and decodes the file. It returns false if the syntax is wrong.
func (c *checker) parse() (root hujson.Value, ok bool) {
	root, err := hujson.Parse(c.data)
	if err != nil {
		c.addSyntaxError(err)
		return root, false
	}
	c.decodeObject(root)
	return root, true
}

// checker collects the mistakes of one file.
type checker struct {
	data []byte
	// fields holds pointers to the fields of the struct by their JSON names.
	fields map[string]any
	// values holds the values that the file gives, by their JSON names.
	values   map[string]hujson.Value
	mistakes []Mistake
}

// err returns the mistakes, sorted by position, as a *MistakesError, or nil.
func (c *checker) err(path string) error {
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

// addSyntaxError adds an error of the parser. Its text begins with the position.
func (c *checker) addSyntaxError(err error) {
	m := Mistake{Line: 1, Column: 1, Message: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(m.Message, "hujson: line %d, column %d:", &line, &column); n == 2 {
		m = Mistake{Line: line, Column: column, Message: strings.SplitN(m.Message, ": ", 3)[2]}
	}
	c.mistakes = append(c.mistakes, m)
}

// decodeObject decodes the members of the file into the fields of the struct.
func (c *checker) decodeObject(root hujson.Value) {
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
			c.decodeValue(name, member.Value, field)
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

// decodeValue decodes one value and reports a value of the wrong type.
func (c *checker) decodeValue(name string, value hujson.Value, into any) {
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

// checkEntry checks the settings of an entry instance.
func (c *checker) checkEntry(root hujson.Value, entry Entry) {
	c.checkRequired(root, "instance", "region", "failure_domain", "caller_address", "admin_address", "platform_address")
	for _, name := range []string{"instance", "region", "failure_domain"} {
		c.checkNotEmpty(name)
	}
	if entry.StoreAddress == "" && entry.PipelineFiles == "" {
		c.addAt(root.StartOffset, "one of \"store_address\" and \"pipeline_files\" is needed")
	}
	c.checkAddresses("caller_address", "peer_address", "advertise_address", "admin_address", "store_address", "platform_address")
	c.checkPositive("memory_mb", entry.MemoryMB)
	c.checkPositive("max_descriptors", float64(entry.MaxDescriptors))
	c.checkShutdownTimes(entry)
}

// checkRequired reports settings that are missing.
func (c *checker) checkRequired(root hujson.Value, names ...string) {
	for _, name := range names {
		if _, given := c.values[name]; !given {
			c.addAt(root.StartOffset, "setting %q is missing", name)
		}
	}
}

func (c *checker) checkNotEmpty(name string) {
	value, given := c.values[name]
	if literal, ok := value.Value.(hujson.Literal); given && ok && literal.String() == "" {
		c.addAt(value.StartOffset, "setting %q is empty", name)
	}
}

// checkAddresses checks the format of all addresses and that no two settings have
// the same address. Only store_address and platform_address may be equal, because
// the platform may serve its store and its instance list at one address.
func (c *checker) checkAddresses(names ...string) {
	settingByAddress := map[netip.AddrPort]string{}
	for _, name := range names {
		value, given := c.values[name]
		if !given {
			continue
		}
		address, ok := c.checkAddress(name, value)
		if !ok {
			continue
		}
		other, twice := settingByAddress[address]
		if twice && !(name == "platform_address" && other == "store_address") {
			c.addAt(value.StartOffset, "setting %q has the same address as %q", name, other)
		}
		settingByAddress[address] = name
	}
	c.checkPeers()
}

// checkAddress parses an IP address with a port other than 0.
func (c *checker) checkAddress(name string, value hujson.Value) (netip.AddrPort, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return netip.AddrPort{}, false // decodeValue has reported the wrong type
	}
	address, err := netip.ParseAddrPort(literal.String())
	if err != nil || address.Port() == 0 {
		c.addAt(value.StartOffset, "setting %q: %q is not an IP address with a port", name, literal.String())
		return netip.AddrPort{}, false
	}
	return address, true
}

func (c *checker) checkPeers() {
	array, ok := c.values["peers"].Value.(*hujson.Array)
	if !ok {
		return
	}
	seen := map[netip.AddrPort]bool{}
	for _, element := range array.Elements {
		address, ok := c.checkAddress("peers", element)
		if !ok {
			continue
		}
		if seen[address] {
			c.addAt(element.StartOffset, "setting \"peers\" lists %s twice", address)
		}
		seen[address] = true
	}
}

// checkShutdownTimes checks the drain grace and the shutdown deadline.
func (c *checker) checkShutdownTimes(entry Entry) {
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
