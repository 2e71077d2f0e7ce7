package disruption

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxUnavailable is how many tasks of a population may be unavailable at once: a number of
// tasks, or a percentage of the population.
type MaxUnavailable struct {
	Tasks     int
	Percent   float64 // 0 to 100
	IsPercent bool    // Percent applies instead of Tasks
}

// fullPercent is the percentage of the whole population.
const fullPercent = 100

// ErrInvalidMaxUnavailable is returned by ParseMaxUnavailable for text in neither form.
var ErrInvalidMaxUnavailable = errors.New("must be a whole number of tasks, or a share from 0% to 100%")

// ParseMaxUnavailable parses a number of tasks ("3") or a percentage ("10%").
func ParseMaxUnavailable(text string) (MaxUnavailable, error) {
	if number, isPercent := strings.CutSuffix(text, "%"); isPercent {
		percent, err := strconv.ParseFloat(number, 64)
		inRange := percent >= 0 && percent <= fullPercent // false for NaN
		if err != nil || !inRange {
			return MaxUnavailable{}, ErrInvalidMaxUnavailable
		}
		return MaxUnavailable{Percent: percent, IsPercent: true}, nil
	}
	tasks, err := strconv.Atoi(text)
	if err != nil || tasks < 0 {
		return MaxUnavailable{}, ErrInvalidMaxUnavailable
	}
	return MaxUnavailable{Tasks: tasks}, nil
}

// String returns the form that ParseMaxUnavailable parses.
func (m MaxUnavailable) String() string {
	if m.IsPercent {
		return fmt.Sprintf("%g%%", m.Percent)
	}
	return strconv.Itoa(m.Tasks)
}

// For returns how many tasks of a population of the given size may be unavailable.
// Percentages are rounded down, so a percentage below 100% never allows all tasks to be
// unavailable.
func (m MaxUnavailable) For(population int) int {
	if !m.IsPercent {
		return m.Tasks
	}
	if m.Percent == fullPercent {
		return population
	}
	return int(m.Percent * float64(population) / fullPercent)
}
