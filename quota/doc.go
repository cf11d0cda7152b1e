// Package quota divides limits among instances: organisation rates by reported
// demand, the link between regions in equal shares, and the store's call budget.
// It does no I/O and reads no clock.
package quota
