// Package peerpb holds the generated messages and the generated service of calls
// between entry instances.
package peerpb
