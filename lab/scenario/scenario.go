// Package scenario reads scenario files in TOML, either embedded files by name or other files by path. The packages
// that run scenarios define their types and validate their values.
package scenario

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration whose text form is that of time.ParseDuration, for example "1.5s".
type Duration time.Duration

// UnmarshalText parses the text form of a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// MarshalText returns the text form of a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Validator is implemented by the types of scenarios. Check validates the values after decoding.
type Validator interface{ Check() error }

// EmbeddedNames returns the names of the scenarios in the directory "scenarios" of an embedded file system, without the
// suffix ".toml".
func EmbeddedNames(embedded embed.FS) (names []string) {
	files, _ := fs.Glob(embedded, "scenarios/*.toml")
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), ".toml"))
	}
	return names
}

// Load parses the embedded scenario with a name or, if there is none, the file at that path. Errors name the scenario.
func Load(embedded embed.FS, name string, target Validator) error {
	data, err := embedded.ReadFile("scenarios/" + name + ".toml")
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			names := strings.Join(EmbeddedNames(embedded), ", ")
			return fmt.Errorf("%q is neither a file nor one of %s: %w", name, names, err)
		}
	}
	if err := Parse(data, target); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Parse decodes a scenario into target and validates it. Errors about an unknown key or a malformed value name the
// line.
func Parse(data []byte, target Validator) error {
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(target)
	var unknownKeys *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknownKeys):
		line, _ := unknownKeys.Errors[0].Position()
		return fmt.Errorf("line %d: no such key: %s", line, strings.Join(unknownKeys.Errors[0].Key(), "."))
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		return fmt.Errorf("line %d: %w", line, err)
	case err != nil:
		return err
	}
	return target.Check()
}
