package wire

import (
	"fmt"
	"math"
	"strings"
)

// FieldError says which field made a message invalid, and why. Its text is shown to
// whoever sent the message.
type FieldError struct {
	Field   string // the protocol's name of the field, or "body"
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldChecker checks the fields of a message and keeps the first error. Its methods
// return a field's value; a nil value stands for a field that is missing.
type fieldChecker struct{ err error }

func (c *fieldChecker) fail(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{field, problem}
	}
}

// jobID checks the id of a job.
func (c *fieldChecker) jobID(field string, value *string) string {
	if value == nil {
		c.fail(field, "is missing")
		return ""
	}
	if !ValidJobID(*value) {
		c.fail(field, "is not a job id")
	}
	return *value
}

// name checks a name that is neither empty nor too long.
func (c *fieldChecker) name(field string, value *string) string {
	if value == nil {
		c.fail(field, "is missing")
		return ""
	}
	if *value == "" || len(*value) > maxNameBytes {
		c.fail(field, fmt.Sprintf("must have 1 to %d bytes", maxNameBytes))
	}
	return *value
}

// count checks a whole number from least to most.
func (c *fieldChecker) count(field string, value *int, minValue, maxValue int) int {
	if value == nil {
		c.fail(field, "is missing")
		return 0
	}
	if *value < minValue || *value > maxValue {
		c.fail(field, fmt.Sprintf("must be %d to %d", minValue, maxValue))
	}
	return *value
}

// amount checks a number from 0 to maxAmount.
func (c *fieldChecker) amount(field string, value *float64) float64 {
	if value == nil {
		c.fail(field, "is missing")
		return 0
	}
	if math.IsNaN(*value) || *value < 0 || *value > maxAmount {
		c.fail(field, "is out of range")
	}
	return *value
}

// flag checks that a boolean is there.
func (c *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, "is missing")
		return false
	}
	return *value
}

// oneOf checks a value that must be one of those allowed; it returns "" if it is none. It
// is a function because methods take no type parameters.
func oneOf[T ~string](c *fieldChecker, field string, value *T, allowed ...T) T {
	if value == nil {
		c.fail(field, "is missing")
		return ""
	}
	for _, a := range allowed {
		if *value == a {
			return a
		}
	}
	texts := make([]string, len(allowed))
	for i, a := range allowed {
		texts[i] = string(a)
	}
	c.fail(field, "must be one of "+strings.Join(texts, ", "))
	return ""
}
