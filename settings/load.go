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

// Error is one error in a settings file.
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

// Load reads a settings file and checks every value in it. Relative file names in it are
// resolved against its directory. All errors are returned together by errors.Join, each of
// them an *Error.
func Load(path string) (Process, error) { return load(path, false) }

// LoadComplete is like Load, but also requires the settings without which a process cannot
// serve: its addresses, the services of the platform and its identity.
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
	errs := p.validate(complete)
	if len(errs) == 0 {
		return p, nil
	}
	lines := keyLines(data)
	for _, e := range errs {
		e.File, e.Line = path, lines.lineOf(e.Key)
	}
	return p, joinByLine(errs)
}

// resolve makes relative file names relative to dir.
func (p *Process) resolve(dir string) {
	for _, name := range []*string{&p.Platform.TokenFile, &p.Identity.PrincipalsFile, &p.Identity.ProcessTokenFile, &p.Identity.OrderTokenFile} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

// decodeErrors converts an error of the TOML decoder to errors with the line of each unknown
// key or of a value of a wrong type.
func decodeErrors(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var errs []*Error
		for i := range unknown.Errors {
			errs = append(errs, newDecodeError(path, &unknown.Errors[i], "unknown key"))
		}
		return joinByLine(errs)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return newDecodeError(path, decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", path, err)
}

// newDecodeError returns an Error at the position of a decoding error.
func newDecodeError(path string, err *toml.DecodeError, message string) *Error {
	line, _ := err.Position()
	return &Error{File: path, Line: line, Key: strings.Join(err.Key(), "."), Message: message}
}

// joinByLine joins errors in the order of their lines.
func joinByLine(errs []*Error) error {
	slices.SortStableFunc(errs, func(a, b *Error) int { return a.Line - b.Line })
	all := make([]error, len(errs))
	for i, e := range errs {
		all[i] = e
	}
	return errors.Join(all...)
}
