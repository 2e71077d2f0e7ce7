// Package testclock shifts the wall clock reading of a time.Time and leaves its monotonic
// clock reading unchanged. A process reads such times after the system's time of day was
// set. Tests use the package because package time has no way to create such times.
package testclock

import (
	"time"
	"unsafe"
)

// timeLayout is the memory layout of a time.Time that has a monotonic clock reading. The
// lowest 30 bits of wall are the nanoseconds of the wall clock. The bits above are its
// seconds, and the highest bit is a flag for the monotonic clock reading.
type timeLayout struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

const (
	hasMonotonic   = 1 << 63
	nanosecondBits = 30
)

// ShiftWallClock returns t with its wall clock reading set forward by a number of seconds,
// or back if the number is negative. The monotonic clock reading stays the same.
// ShiftWallClock panics if t has no monotonic clock reading.
func ShiftWallClock(t time.Time, seconds int64) time.Time {
	layout := (*timeLayout)(unsafe.Pointer(&t))
	if layout.wall&hasMonotonic == 0 {
		panic("testclock: the time has no monotonic clock reading")
	}
	layout.wall += uint64(seconds) << nanosecondBits
	return t
}
