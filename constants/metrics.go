package constants

// Metrics.
const (
	// LatencyMaxMS is the end of latency histograms (ms): nobody waits longer.
	LatencyMaxMS = 60_000
	// LatencyDigits is their resolution (significant digits).
	LatencyDigits = 2
)
