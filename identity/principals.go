// Package identity authenticates callers, trainers, operators and processes by
// their bearer tokens and checks their roles. Tokens come from files only. The
// package keeps only the hashes of the tokens and never puts a token into an error
// or a log line.
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

// Role determines which calls a principal may make.
type Role string

// Roles of principals.
const (
	RoleCaller   Role = "caller"
	RoleTrainer  Role = "trainer"
	RoleOperator Role = "operator"
	RoleProcess  Role = "process"
)

// Principal is the authenticated originator of a call.
type Principal struct {
	Name string
	Role Role
}

// MinTokenBytes is the minimum length of a token. It excludes files that hold a
// placeholder instead of a secret.
const MinTokenBytes = 16

// maxTokenBytes bounds the length of a token in a request, which is checked before
// the token is hashed.
const maxTokenBytes = 4096

// entry is a principal and the hash of its token.
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

// Load reads a principals file and the token files that it names. Relative names
// of token files are relative to the directory of the principals file.
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
		return nil, fmt.Errorf("%s: file lists no principals", path)
	}
	return p, nil
}

// add checks a principal and its token and adds it to the set.
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

// ReadSecret reads a secret from a file and removes surrounding white space. An
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

// Authenticate returns the principal for the value of an Authorization header. It
// compares the token with that of every principal in constant time, so that its
// duration reveals nothing about the token.
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
		return Principal{}, verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "token does not belong to any principal")
	}
	return p.entries[found].Principal, nil
}

// CheckProcess returns an error unless the value of an Authorization header belongs
// to a principal with RoleProcess. Calls between the processes of the system are
// checked with it.
func (p *Principals) CheckProcess(authorization string) error {
	principal, err := p.Authenticate(authorization)
	if err != nil {
		return err
	}
	return checkRole(principal.Role, RoleProcess)
}

// checkRole returns an error unless role is one of the allowed roles.
func checkRole(role Role, allowed ...Role) error {
	for _, a := range allowed {
		if role == a {
			return nil
		}
	}
	return verdict.New(verdict.NotRun, verdict.ReasonForbidden, "role %s may not make this call", role)
}
