package constants

// Metrics.
const (
	// LatencyMaxMS is the upper bound of latency histograms (ms): no request takes longer.
	LatencyMaxMS = 60_000
	// LatencyDigits is the resolution of latency histograms (significant digits).
	LatencyDigits = 2
)
