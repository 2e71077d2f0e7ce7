package settings

import (
	"errors"
	"testing"
)

// The shipped file switches everything on; a bad field is named, an unknown one
// ignored.
func TestDutiesSettings(t *testing.T) {
	if d, err := LoadDuties("../deploy/duties.properties"); err != nil || !d.CloseFirst {
		t.Errorf("%+v, %v", d, err)
	}
	if d, err := ParseDuties([]byte("duties.close.before.return = false\nduties.other = 1")); err != nil || d.CloseFirst {
		t.Errorf("%+v, %v", d, err)
	}
	var bad *FieldError
	if _, err := ParseDuties([]byte("duties.close.before.return = 1")); !errors.As(err, &bad) || bad.Field != "duties.close.before.return" {
		t.Errorf("%v", err)
	}
	if _, err := LoadDuties("not there"); !errors.As(err, &bad) {
		t.Errorf("%v", err)
	}
}
