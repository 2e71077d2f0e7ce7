package wire

import (
	"fmt"
	"math"
	"strings"
)

// FieldError is the error of a message with an invalid field. The sender of the message
// receives the error's text.
type FieldError struct {
	Field   string // the protocol's name of the field, or "body"
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldChecker checks the fields of a message and keeps the first error. Its methods
// return the field's value. A nil value means that the field is missing.
type fieldChecker struct{ err error }

func (c *fieldChecker) fail(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{field, problem}
	}
}

// jobID checks a required job id.
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

// name checks a required name of 1 to maxNameBytes bytes.
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

// count checks a required integer from minValue to maxValue.
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

// amount checks a required number from 0 to maxAmount.
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

// flag checks a required boolean.
func (c *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, "is missing")
		return false
	}
	return *value
}

// oneOf checks a required value, which must be one of the allowed values, and returns
// "" if it is not. oneOf is a function because methods cannot have type parameters.
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
