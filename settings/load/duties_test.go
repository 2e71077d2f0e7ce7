package load

import "testing"

// The shipped file enables all duties settings. An error names the invalid field, and an
// unknown field is ignored.
func TestDutiesSettings(t *testing.T) {
	if d, err := Duties("../../deploy/duties.properties"); err != nil || !d.CloseBeforeScaleIn {
		t.Errorf("%+v, %v", d, err)
	}
	if d, err := ParseDuties([]byte("duties.close.before.return = false\nduties.other = 1")); err != nil || d.CloseBeforeScaleIn {
		t.Errorf("%+v, %v", d, err)
	}
	const line = "duties.close.before.return = 1"
	_, err := ParseDuties([]byte(line))
	wantFieldError(t, err, "duties.close.before.return", line)
	_, err = Duties("not there")
	wantFieldError(t, err, "not there", "no file")
}
