package settings

import (
	"errors"
	"fmt"
)

// FieldError says which setting is invalid. Callers test for it with errors.As; the
// program ends with exit code 2 for it.
type FieldError struct {
	// Field is the name of the field as it stands in its file, the name of the flag or
	// environment variable, or the path of a file that cannot be read.
	Field string
	// Problem says what is wrong with the value, for a person.
	Problem string
	// Cause is the error behind the problem, or nil.
	Cause error
}

// Error returns the field and its problem.
func (e *FieldError) Error() string { return "settings: " + e.Field + ": " + e.Problem }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Cause }

// Invalid returns a FieldError whose problem is formatted as by fmt.Errorf: an error that
// is formatted with %w becomes the cause.
func Invalid(field, format string, args ...any) *FieldError {
	problem := fmt.Errorf(format, args...)
	return &FieldError{Field: field, Problem: problem.Error(), Cause: errors.Unwrap(problem)}
}
