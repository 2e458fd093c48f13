// Package scenario reads the files of the laboratory: those that come with the program, by name, and others, by path.
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

// Duration is written as in "1.5s".
type Duration time.Duration

// UnmarshalText reads one.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes one.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Kept names the scenarios in the folder scenarios of what is embedded.
func Kept(in embed.FS) (names []string) {
	files, _ := fs.Glob(in, "scenarios/*.toml")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return names
}

// Load reads a kept scenario by its name, or a file, and checks it. What is wrong is named by its line or key.
func Load(in embed.FS, name string, into interface{ Check() error }) error {
	data, err := in.ReadFile("scenarios/" + name + ".toml")
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return fmt.Errorf("%q is neither a file nor one of %s: %w", name, strings.Join(Kept(in), ", "), err)
		}
	}
	if err := Parse(data, into); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Parse reads a scenario and checks it. An unknown key or a faulty value is named by its line.
func Parse(data []byte, into interface{ Check() error }) error {
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := d.Decode(into)
	var strict *toml.StrictMissingError
	var bad *toml.DecodeError
	if errors.As(err, &strict) {
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("line %d: no such key: %s", row, strings.Join(strict.Errors[0].Key(), "."))
	} else if errors.As(err, &bad) {
		row, _ := bad.Position()
		return fmt.Errorf("line %d: %w", row, err)
	} else if err != nil {
		return err
	}
	return into.Check()
}
