package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"testing"
)

// A FieldError can be found in a chain of errors, wraps its cause, and its message names the
// field and the problem.
func TestFieldError(t *testing.T) {
	cause := fmt.Errorf("open: %w", fs.ErrNotExist)
	err := fmt.Errorf("loading: %w", Invalid("some.field", "%w", cause))
	var invalid *FieldError
	if !errors.As(err, &invalid) || invalid.Field != "some.field" || invalid.Problem != cause.Error() {
		t.Errorf("%v is not an error about the field", err)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v does not wrap its cause", err)
	}
	withoutCause := Invalid("some.field", "must be %d", 7)
	if withoutCause.Unwrap() != nil || withoutCause.Error() != "settings: some.field: must be 7" {
		t.Errorf("%v, caused by %v", withoutCause, withoutCause.Unwrap())
	}
}
