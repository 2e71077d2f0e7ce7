package load

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ravenport/settings"
)

// validSettings returns the text of a valid settings file. Tests replace parts of it.
func validSettings(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// wantFieldError fails the test unless the error is about the field.
func wantFieldError(t *testing.T, err error, field, input string) {
	t.Helper()
	var invalid *settings.FieldError
	if !errors.As(err, &invalid) || invalid.Field != field {
		t.Errorf("%q: %v, wanted the field %s", input, err, field)
	}
}

func TestValidSettings(t *testing.T) {
	s, err := ParseSettings([]byte(validSettings(t)))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.AllControllers()) != 2 || s.Team("t") == nil || s.Team("x") != nil {
		t.Fatalf("%+v", s)
	}
}

// An invalid setting is refused with an error that names the field.
func TestInvalidSettings(t *testing.T) {
	valid := validSettings(t)
	for _, c := range []struct{ from, to, field string }{
		{`node = "n-0"`, ``, "node"},
		{`domain = "a"`, `domain = "z"`, "domain"},
		{`"10.0.0.1:8080"`, `"host:8080"`, "bind"},
		{`"10.0.0.2:8081"`, `"nowhere"`, "siblings.peer_addr"},
		{`node = "n-1"`, `node = "n-0"`, "siblings.node"},
		{`lease_s = 26.0`, `lease_s = 0.0`, "facts.workers.lease_s"},
		{`write_rps = 20.0`, `write_rps = -1.0`, "facts.state.write_rps"},
		{`zones = ["a", "b"]`, `zones = ["a", "b/c"]`, "facts.zones"},
		{`rps = 10.0`, `rps = "many"`, "facts.cloud.rps"},
		{`cpus = 8.0`, `cpus = -8.0`, "facts.teams"},
		{`gang_wait_s = 30.0`, ``, "facts.workers.gang_wait_s"},
		{`gang_peer_s = 8.0`, `gang_peer_s = 0.0`, "facts.workers.gang_peer_s"},
		{`[facts.cloud]`, "[facts.state.next]\nvalue_kb = 0.0\n[facts.cloud]", "facts.state.next.value_kb"},
		{`[facts.cloud]`, "[facts.state.next]\ntxn_ops = 0\n[facts.cloud]", "facts.state.next.txn_ops"},
		{`[facts.cloud]`, "[facts.state.next]\nwrite_rps = -1.0\n[facts.cloud]", "facts.state.next.write_rps"},
	} {
		text := strings.Replace(valid, c.from, c.to, 1)
		if text == valid {
			t.Fatalf("the valid settings do not contain %q", c.from)
		}
		_, err := ParseSettings([]byte(text))
		wantFieldError(t, err, c.field, c.to)
	}
}

// The smaller of a present and a later limit applies. A limit without a later value does not
// change.
func TestNextLimits(t *testing.T) {
	valid := validSettings(t)
	for _, c := range []struct {
		next string
		want settings.StoreLimits
	}{
		{"", settings.StoreLimits{RPS: 200, WriteRPS: 20, ValueKB: 8, TxnOps: 12}},
		{"[facts.state.next]\n", settings.StoreLimits{RPS: 200, WriteRPS: 20, ValueKB: 8, TxnOps: 12}},
		{"[facts.state.next]\nvalue_kb = 2.0\n", settings.StoreLimits{RPS: 200, WriteRPS: 20, ValueKB: 2, TxnOps: 12}},
		{"[facts.state.next]\nrps = 500.0\nwrite_rps = 15.0\nvalue_kb = 64.0\ntxn_ops = 4\n", settings.StoreLimits{RPS: 200, WriteRPS: 15, ValueKB: 8, TxnOps: 4}},
	} {
		s, err := ParseSettings([]byte(strings.Replace(valid, "[facts.cloud]", c.next+"[facts.cloud]", 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.StoreLimits(); got != c.want || s.ValueBytes() != int(c.want.ValueKB*1024) {
			t.Errorf("%q: %+v, wanted %+v", c.next, got, c.want)
		}
	}
}

// The operators' file in the directory of the settings file is optional. An operators' file
// that is named explicitly must exist, and so must the settings file.
func TestSettingsFiles(t *testing.T) {
	dir := t.TempDir()
	path, defaultFile, missing := filepath.Join(dir, "settings.toml"), filepath.Join(dir, DefaultPropertiesFile), filepath.Join(dir, "named")
	write := func(path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	_, err := Settings(path, "")
	wantFieldError(t, err, path, "no settings file")
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v does not wrap its cause", err)
	}
	write(path, validSettings(t))
	s, err := Settings(path, "")
	if err != nil || s.Operator != settings.DefaultOperator() {
		t.Errorf("without operators' settings: %+v, %v", s, err)
	}
	write(defaultFile, "rent.spot = false")
	if s, err = Settings(path, ""); err != nil || s.Operator.UseSpot {
		t.Errorf("with operators' settings: %+v, %v", s, err)
	}
	write(defaultFile, "rent.spot = maybe")
	_, err = Settings(path, "")
	wantFieldError(t, err, "rent.spot", "rent.spot = maybe")
	_, err = Settings(path, missing)
	wantFieldError(t, err, missing, "no operators' settings")
}
