package constants

// Limits of the Go runtime.
const (
	// HeapMemoryShare is the part of the machine's memory that the heap may use before
	// garbage collections become more frequent (share).
	HeapMemoryShare = 0.6
	// GCPercent is how much the heap may grow between two garbage collections (percent).
	GCPercent = 400
)
