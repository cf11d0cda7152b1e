// Package quota divides fleet-wide limits among instances: a RateLimiter enforces
// this instance's share of each organisation's request rate, a LinkBudget its share
// of the link between regions, and a StoreBudget its share of the store's call
// rates. Shares of organisation rates follow the demand that instances report;
// those of the link and the store are equal. The package does no I/O and reads no
// clock.
package quota
