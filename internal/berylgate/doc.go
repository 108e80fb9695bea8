// Package berylgate serves callers' HTTP: it authenticates, bounds, dates and classes each request, hands it to the
// calls duty and answers with the whole answer or a truthful refusal.
package berylgate
