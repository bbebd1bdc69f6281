package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is one fault of a settings file.
type Error struct {
	File    string
	Line    int // 0 if neither the key nor its table is in the file
	Key     string
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// Load reads a settings file and checks every value that it gives. Relative
// file names become relative to the directory of the settings file. All faults
// are returned, joined, each an *Error.
func Load(path string) (Process, error) { return load(path, false) }

// LoadComplete is Load for a process in service: it also requires addresses,
// platform services and identity.
func LoadComplete(path string) (Process, error) { return load(path, true) }

func load(path string, complete bool) (Process, error) {
	p := Default()
	data, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&p); err != nil {
		return p, decodeErrors(path, err)
	}
	p.resolve(filepath.Dir(path))
	faults := p.validate(complete)
	if len(faults) == 0 {
		return p, nil
	}
	lines := keyLines(data)
	for _, f := range faults {
		f.File, f.Line = path, lines.lineOf(f.Key)
	}
	return p, joinByLine(faults)
}

func (p *Process) resolve(dir string) {
	for _, name := range []*string{&p.Platform.TokenFile, &p.Identity.PrincipalsFile, &p.Identity.ProcessTokenFile, &p.Identity.OrderTokenFile} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

// decodeErrors names the place of unknown keys and of values of a wrong type.
func decodeErrors(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var faults []*Error
		for i := range unknown.Errors {
			faults = append(faults, newDecodeError(path, &unknown.Errors[i], "unknown key"))
		}
		return joinByLine(faults)
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		return newDecodeError(path, one, strings.TrimPrefix(one.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", path, err)
}

func newDecodeError(path string, err *toml.DecodeError, message string) *Error {
	line, _ := err.Position()
	return &Error{File: path, Line: line, Key: strings.Join(err.Key(), "."), Message: message}
}

func joinByLine(faults []*Error) error {
	slices.SortStableFunc(faults, func(a, b *Error) int { return a.Line - b.Line })
	all := make([]error, len(faults))
	for i, f := range faults {
		all[i] = f
	}
	return errors.Join(all...)
}
