package constants

import "time"

// Gangs: replacement of lost tasks, and capacity that is reserved for them.
const (
	// GangReplacePercent bounds replacements: a lost task of a gang that has not run
	// yet is replaced until this part of the gang timeout has passed (percent). The
	// replacement may still have to fetch the image.
	GangReplacePercent = 60
	// GangOffloadWait is how long a gang waits in a shard for pending machines before
	// it goes to another shard that could start it at once.
	GangOffloadWait = 3 * time.Second
	// SlowFetchFactor is how much longer than usual a slow fetch of an image takes
	// (factor): rates differ by a third, and a gang needs few fetches.
	SlowFetchFactor = 1.2
	// MinGangArrivalShare: with less than this share of the largest gang expected
	// while a machine would boot, no capacity is reserved for gangs (share).
	MinGangArrivalShare = 0.02
	// GangShapeRetention is how long the shape of a gang is remembered after the last
	// of its kind: longer than the pauses of most classes.
	GangShapeRetention = 10 * time.Minute
	// MaxGangShapes bounds the remembered shapes: an owner scans its machines for each
	// (shapes).
	MaxGangShapes = 32
)
