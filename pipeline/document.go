package pipeline

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// path locates a value in a document by field names (string) and element indices
// (int), from the outermost value inwards.
type path []any

// document is one file with its syntax tree, from which positions are computed.
type document struct {
	file     string
	data     []byte
	tree     hujson.Value
	mistakes Mistakes
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

// parseDocument reads and parses a file (JSON with comments). A syntax error is
// recorded in the mistakes of the document; the returned error is one of reading.
func parseDocument(root fs.FS, file string) (*document, error) {
	data, err := fs.ReadFile(root, file)
	if err != nil {
		return nil, fmt.Errorf("read operators' files: %w", err)
	}
	d := &document{file: file, data: data}
	if d.tree, err = hujson.Parse(slices.Clone(data)); err != nil {
		d.syntaxMistake(err)
	}
	return d, nil
}

func (d *document) syntaxMistake(err error) {
	m := Mistake{File: d.file, Line: 1, Column: 1, Message: err.Error()}
	if found := syntaxPosition.FindStringSubmatch(err.Error()); found != nil {
		m.Line, _ = strconv.Atoi(found[1])
		m.Column, _ = strconv.Atoi(found[2])
		m.Message = "syntax: " + found[3]
	}
	d.mistakes = append(d.mistakes, m)
}

// mistakesFound returns the mistakes of the document; d may be nil.
func (d *document) mistakesFound() Mistakes {
	if d == nil {
		return nil
	}
	return d.mistakes
}

// decode checks that the document has the fields and types of the struct that into
// points to, records the mistakes, and decodes the fields that have the right type.
func (d *document) decode(into any) error {
	d.checkShape(d.tree, reflect.TypeOf(into).Elem())
	standard, err := hujson.Standardize(slices.Clone(d.data))
	if err != nil {
		return err
	}
	err = json.Unmarshal(standard, into)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && len(d.mistakes) > 0 {
		return nil
	}
	return err
}

func (d *document) report(offset int, format string, args ...any) {
	line, column := d.position(offset)
	d.mistakes = append(d.mistakes, Mistake{d.file, line, column, fmt.Sprintf(format, args...)})
}

// position returns the line and column of a byte offset, counted from 1. Columns
// count characters.
func (d *document) position(offset int) (line, column int) {
	before := string(d.data[:min(offset, len(d.data))])
	start := strings.LastIndexByte(before, '\n') + 1
	return strings.Count(before, "\n") + 1, utf8.RuneCountInString(before[start:]) + 1
}

// offset returns the byte offset of the value at a path, or of the innermost value
// around it that exists.
func (d *document) offset(p path) int {
	value := d.tree
	for _, step := range p {
		next, ok := childValue(value, step)
		if !ok {
			break
		}
		value = next
	}
	return value.StartOffset
}

// childValue returns the field or element of a value that a step of a path names.
func childValue(value hujson.Value, step any) (hujson.Value, bool) {
	switch composite := value.Value.(type) {
	case *hujson.Object:
		for _, member := range composite.Members {
			if literal, ok := member.Name.Value.(hujson.Literal); ok && literal.String() == step {
				return member.Value, true
			}
		}
	case *hujson.Array:
		if i, ok := step.(int); ok && i < len(composite.Elements) {
			return composite.Elements[i], true
		}
	}
	return hujson.Value{}, false
}

// checkShape reports unknown and repeated fields and values of the wrong type; t is
// the Go type that the value is decoded into.
func (d *document) checkShape(value hujson.Value, t reflect.Type) {
	switch composite := value.Value.(type) {
	case *hujson.Object:
		if t.Kind() != reflect.Struct {
			d.report(value.StartOffset, "found an object, expected %s", typeName(t))
			return
		}
		d.checkObject(composite, t)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			d.report(value.StartOffset, "found a list, expected %s", typeName(t))
			return
		}
		for _, element := range composite.Elements {
			d.checkShape(element, t.Elem())
		}
	case hujson.Literal:
		d.checkLiteral(value.StartOffset, composite, t)
	}
}

func (d *document) checkObject(object *hujson.Object, t reflect.Type) {
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field, known := fieldType(t, name)
		switch {
		case seen[name]:
			d.report(member.Name.StartOffset, "field %q is given twice", name)
		case !known:
			d.report(member.Name.StartOffset, "unknown field %q, expected one of %s", name, strings.Join(fieldNames(t), ", "))
		default:
			d.checkShape(member.Value, field)
		}
		seen[name] = true
	}
}

func (d *document) checkLiteral(offset int, literal hujson.Literal, t reflect.Type) {
	into := reflect.New(t)
	if literal.Kind() == 'n' || json.Unmarshal(literal, into.Interface()) != nil {
		d.report(offset, "found %s, expected %s", []byte(literal), typeName(t))
	}
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// typeName describes the JSON type of a Go type for messages.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
