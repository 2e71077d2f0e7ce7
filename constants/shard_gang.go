package constants

import "time"

// Gangs: replacement of lost tasks, and capacity that is reserved for gangs.
const (
	// GangReplacePercent is the part of the gang timeout during which a lost task of a gang
	// that has not run yet is replaced (percent). The replacement may still have to fetch
	// the image.
	GangReplacePercent = 60
	// GangOffloadWait is how long a gang waits in a shard for pending machines before it is
	// offloaded to another shard that could start it at once.
	GangOffloadWait = 3 * time.Second
	// SlowFetchFactor is how much longer than usual a slow fetch of an image takes (factor):
	// fetch rates differ by a third, and a gang needs few fetches.
	SlowFetchFactor = 1.2
	// MinGangArrivalShare is the least work of gangs that must be expected to arrive during
	// a machine's boot, as a share of the largest gang, for capacity to be reserved for
	// gangs (share).
	MinGangArrivalShare = 0.02
	// GangShapeRetention is how long the shape of a gang is remembered after the last gang
	// of that shape: longer than the pauses between gangs of most classes.
	GangShapeRetention = 10 * time.Minute
	// MaxGangShapes bounds the remembered shapes (shapes): an owner scans its machines for
	// each of them.
	MaxGangShapes = 32
)
