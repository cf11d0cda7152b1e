// Package peerpb holds the generated messages and the generated service for calls
// between instances.
package peerpb
