package load

import "ravenport/settings"

// Duties reads and checks the duties file.
func Duties(path string) (settings.Duties, error) {
	text, err := readFile(path)
	if err != nil {
		return settings.Duties{}, err
	}
	return ParseDuties(text)
}

// ParseDuties parses and checks the text of the duties file.
func ParseDuties(text []byte) (settings.Duties, error) {
	p, err := parseProperties("duties", text)
	if err != nil {
		return settings.Duties{}, err
	}
	closeBeforeScaleIn, err := readBool(p, "duties.close.before.return", true)
	return settings.Duties{CloseBeforeScaleIn: closeBeforeScaleIn}, err
}
