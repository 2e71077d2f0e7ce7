// Package testclock makes times whose wall clock has jumped while their monotonic clock
// runs on, as a process reads them after somebody has set the time of day. Tests use
// it; nothing else can make such times.
package testclock

import (
	"time"
	"unsafe"
)

// reading is the layout of a time.Time: with a monotonic reading, wall holds a flag,
// the seconds of the wall clock above its lowest 30 bits, and nanoseconds below.
type reading struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

const (
	hasMonotonic   = 1 << 63
	nanosecondBits = 30
)

// JumpWall returns t with its wall clock, and nothing else, set forward by so many
// seconds, or back. t must have a monotonic reading.
func JumpWall(t time.Time, seconds int64) time.Time {
	r := (*reading)(unsafe.Pointer(&t))
	if r.wall&hasMonotonic == 0 {
		panic("testclock: a time without a monotonic reading")
	}
	r.wall += uint64(seconds) << nanosecondBits
	return t
}
