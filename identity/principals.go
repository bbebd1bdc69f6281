// Package identity knows the principals and their tokens, and decides who may
// call what. Tokens come from files only; the package keeps their hashes and
// never puts a token into an error or a log line.
package identity

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// Role is what a principal may do.
type Role string

// Roles of principals.
const (
	RoleCaller   Role = "caller"
	RoleTrainer  Role = "trainer"
	RoleOperator Role = "operator"
	RoleProcess  Role = "process"
)

// Principal is who makes a call.
type Principal struct {
	Name string
	Role Role
}

// MinTokenBytes is the shortest accepted token. It refuses files that hold a
// placeholder instead of a secret.
const MinTokenBytes = 16

// maxTokenBytes bounds a presented token before it is hashed.
const maxTokenBytes = 4096

type entry struct {
	Principal
	hash [sha256.Size]byte
}

// Principals is the immutable set of known principals.
type Principals struct{ entries []entry }

type principalsFile struct {
	Principal []struct {
		Name      string `toml:"name"`
		Role      Role   `toml:"role"`
		TokenFile string `toml:"token_file"`
	} `toml:"principal"`
}

// Load reads a principals file and the token files it names. Relative token
// file names are relative to the principals file.
func Load(path string) (*Principals, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var file principalsFile
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	p := &Principals{}
	for i, item := range file.Principal {
		tokenFile := item.TokenFile
		if tokenFile != "" && !filepath.IsAbs(tokenFile) {
			tokenFile = filepath.Join(filepath.Dir(path), tokenFile)
		}
		if err := p.add(Principal{Name: item.Name, Role: item.Role}, tokenFile); err != nil {
			return nil, fmt.Errorf("%s: principal %d (%s): %w", path, i+1, item.Name, err)
		}
	}
	if len(p.entries) == 0 {
		return nil, fmt.Errorf("%s: no principal", path)
	}
	return p, nil
}

func (p *Principals) add(principal Principal, tokenFile string) error {
	switch principal.Role {
	case RoleCaller, RoleTrainer, RoleOperator, RoleProcess:
	default:
		return fmt.Errorf("unknown role %q", principal.Role)
	}
	if principal.Name == "" {
		return errors.New("name is missing")
	}
	token, err := ReadSecret(tokenFile)
	if err != nil {
		return err
	}
	if len(token) < MinTokenBytes {
		return fmt.Errorf("token in %s is shorter than %d bytes", tokenFile, MinTokenBytes)
	}
	hash := sha256.Sum256([]byte(token))
	for _, e := range p.entries {
		if e.Name == principal.Name {
			return errors.New("name is used twice")
		}
		if e.hash == hash {
			return fmt.Errorf("token is the same as that of %s", e.Name)
		}
	}
	p.entries = append(p.entries, entry{Principal: principal, hash: hash})
	return nil
}

// ReadSecret reads a secret from a file without surrounding white space. An
// empty secret is an error.
func ReadSecret(path string) (string, error) {
	if path == "" {
		return "", errors.New("token_file is missing")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", fmt.Errorf("secret file %s is empty", path)
	}
	return secret, nil
}

// Names returns the names of all principals.
func (p *Principals) Names() []string {
	names := make([]string, len(p.entries))
	for i, e := range p.entries {
		names[i] = e.Name
	}
	return names
}

// Authenticate returns the principal of an authorization header value. It
// compares with every principal, so that its duration tells nothing about the
// token.
func (p *Principals) Authenticate(authorization string) (Principal, error) {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || token == "" || len(token) > maxTokenBytes {
		return Principal{}, verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "bearer token is missing or malformed")
	}
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range p.entries {
		if subtle.ConstantTimeCompare(hash[:], p.entries[i].hash[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Principal{}, verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "token is not known")
	}
	return p.entries[found].Principal, nil
}

// CheckProcess accepts only principals of role process; it is the check of
// calls between the system's own processes.
func (p *Principals) CheckProcess(authorization string) error {
	principal, err := p.Authenticate(authorization)
	if err != nil {
		return err
	}
	return checkRole(principal.Role, RoleProcess)
}

func checkRole(role Role, allowed ...Role) error {
	for _, a := range allowed {
		if role == a {
			return nil
		}
	}
	return verdict.New(verdict.NotRun, verdict.ReasonForbidden, "role %s may not make this call", role)
}
