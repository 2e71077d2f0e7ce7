package settings

import (
	"os"

	"github.com/magiconair/properties"
)

// Duties holds the settings of duties that one controller does at a time; see
// docs/operators-duties.md. Without a file for them they are done as ever.
type Duties struct {
	// CloseFirst: duties.close.before.return. A machine is durably closed to placing
	// before it is returned to the cloud.
	CloseFirst bool
}

// LoadDuties reads and checks the file of duties.
func LoadDuties(path string) (Duties, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Duties{}, &FieldError{path, err.Error()}
	}
	return ParseDuties(text)
}

// ParseDuties reads and checks the settings of duties. Unknown fields are ignored.
func ParseDuties(text []byte) (Duties, error) {
	p, err := properties.Load(text, properties.UTF8)
	if err != nil {
		return Duties{}, &FieldError{"duties", err.Error()}
	}
	closeFirst, err := boolean(p, "duties.close.before.return", true)
	return Duties{CloseFirst: closeFirst}, err
}
