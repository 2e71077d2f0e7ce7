package settings

import (
	"errors"
	"fmt"
)

// FieldError reports an invalid setting. Callers test for it with errors.As; the program
// then exits with code 2.
type FieldError struct {
	// Field is the name of the field as written in its file, the name of the flag or
	// environment variable, or the path of a file that cannot be read.
	Field string
	// Problem is a readable description of what is wrong with the value.
	Problem string
	// Cause is the error behind the problem, or nil.
	Cause error
}

// Error returns the field and its problem.
func (e *FieldError) Error() string { return "settings: " + e.Field + ": " + e.Problem }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Cause }

// Invalid returns a FieldError. It formats the problem as fmt.Errorf does: an error
// argument formatted with %w becomes the cause.
func Invalid(field, format string, args ...any) *FieldError {
	problem := fmt.Errorf(format, args...)
	return &FieldError{Field: field, Problem: problem.Error(), Cause: errors.Unwrap(problem)}
}
