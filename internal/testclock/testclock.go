// Package testclock makes times whose wall clock has been shifted while their monotonic
// clock has not, as a process reads them after the time of day was set. Tests use it;
// package time has no other way to make such times.
package testclock

import (
	"time"
	"unsafe"
)

// timeLayout is the layout of a time.Time that has a monotonic reading: wall holds a flag,
// the seconds of the wall clock above its lowest 30 bits, and nanoseconds below.
type timeLayout struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

const (
	hasMonotonic   = 1 << 63
	nanosecondBits = 30
)

// ShiftWallClock returns t with its wall clock, and nothing else, set forward by a number
// of seconds, or back by a negative one. t must have a monotonic reading.
func ShiftWallClock(t time.Time, seconds int64) time.Time {
	layout := (*timeLayout)(unsafe.Pointer(&t))
	if layout.wall&hasMonotonic == 0 {
		panic("testclock: a time without a monotonic reading")
	}
	layout.wall += uint64(seconds) << nanosecondBits
	return t
}
