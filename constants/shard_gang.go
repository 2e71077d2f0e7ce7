package constants

import "time"

// Gangs: replacement of lost tasks, and room that is reserved for them.
const (
	// GangReplace: a lost task of a gang that has not begun is replaced while that
	// much of the time is left unused for which its others wait (percent): an image
	// may have to come yet.
	GangReplace = 60
	// GangPatience is how long a gang waits in a shard for room that may be coming
	// before it goes to another shard that could start it at once.
	GangPatience = 3 * time.Second
	// FetchSlow is how much longer than usual a slow fetch of an image takes
	// (factor): rates differ by a third, and a gang asks for few fetches.
	FetchSlow = 1.2
	// GangsFaint: with less than that much of the largest gang expected while a
	// machine would boot, none is expected and no room is kept (share).
	GangsFaint = 0.02
	// ShapeMemory is how long the shape of a gang is remembered after the last of
	// its kind: longer than most classes pause, and not for ever.
	ShapeMemory = 10 * time.Minute
	// MaxShapes bounds them: an owner looks at its machines for each (shapes).
	MaxShapes = 32
)
