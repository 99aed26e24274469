// Package strictoml reads settings from TOML and rejects unknown keys, wrong types and values
// out of range, which are defined by validate tags. All problems are reported together, each with
// its line or key and what is allowed.
package strictoml

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a Go duration in text form, such as "500ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration: want for example \"500ms\" or \"10s\"", b)
	}
	*d = Duration(v)
	return nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Load reads and checks the settings in a file; missing settings have their values in defaults.
// rules, if not nil, checks what validate tags cannot express. If the file has problems the
// error is an *InvalidFileError that lists all of them.
func Load[T any](path string, defaults T, rules func(T) []Problem) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return defaults, err
	}
	s, problems := Parse(data, defaults, rules)
	if len(problems) > 0 {
		return s, &InvalidFileError{File: path, Problems: problems}
	}
	return s, nil
}

// InvalidFileError lists the problems of a file.
type InvalidFileError struct {
	File     string
	Problems []Problem
}

// Problem is one invalid setting of a file.
type Problem struct {
	Line int    // starts at 1; 0 if unknown
	Key  string // dotted; "" if unknown
	Text string // what is wrong and what is allowed
}

// String returns the problem on one line.
func (p Problem) String() string {
	var at []string
	if p.Line > 0 {
		at = append(at, fmt.Sprintf("line %d", p.Line))
	}
	if p.Key != "" {
		at = append(at, p.Key)
	}
	return strings.Join(append(at, p.Text), ": ")
}

// Error implements error.
func (e *InvalidFileError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Parse is Load for the content of a file and returns all problems. Keys that could not be
// decoded are not checked further.
func Parse[T any](data []byte, defaults T, rules func(T) []Problem) (T, []Problem) {
	s, problems := decode(data, defaults)
	seen := map[string]bool{}
	for _, p := range problems {
		seen[p.Key] = true
	}
	found := checkTags(s)
	if rules != nil {
		found = append(found, rules(s)...)
	}
	for _, p := range found {
		if !seen[p.Key] {
			problems = append(problems, p)
		}
	}
	return s, problems
}

// typeError matches the decoder's error for a value of the wrong type.
var typeError = regexp.MustCompile(`cannot decode TOML (\w+) into struct field \S+ of type (\S+)`)

// decode decodes the text over the defaults. The decoder stops at the first value of the wrong
// type; decode then blanks its line and decodes again, to find all of them.
func decode[T any](data []byte, defaults T) (T, []Problem) {
	lines := strings.Split(string(data), "\n")
	var problems []Problem
	for {
		s := defaults
		dec := toml.NewDecoder(strings.NewReader(strings.Join(lines, "\n"))).DisallowUnknownFields()
		err := dec.Decode(&s)
		if err == nil {
			return s, problems
		}
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			for _, e := range unknown.Errors {
				row, _ := e.Position()
				problems = append(problems, Problem{row, strings.Join(e.Key(), "."), "unknown key"})
			}
			return s, problems
		}
		var wrong *toml.DecodeError
		if !errors.As(err, &wrong) {
			return s, append(problems, Problem{Text: err.Error()})
		}
		row, _ := wrong.Position()
		problems = append(problems, Problem{row, strings.Join(wrong.Key(), "."), typeError.ReplaceAllString(strings.TrimPrefix(wrong.Error(), "toml: "), "is of type $1: want $2")})
		if row < 1 || row > len(lines) || lines[row-1] == "" {
			return s, problems
		}
		lines[row-1] = ""
	}
}

// checkTags checks the settings against their validate tags.
func checkTags(s any) []Problem {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	must(v.RegisterValidation("ipport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	}))
	must(v.RegisterValidation("mindur", func(f validator.FieldLevel) bool {
		return time.Duration(f.Field().Int()) >= mustDuration(f.Param())
	}))
	must(v.RegisterValidation("maxdur", func(f validator.FieldLevel) bool {
		return time.Duration(f.Field().Int()) <= mustDuration(f.Param())
	}))
	must(v.RegisterValidation("name", func(f validator.FieldLevel) bool {
		return isValidName(f.Field().String())
	}))
	var failed validator.ValidationErrors
	var out []Problem
	if errors.As(v.Struct(s), &failed) {
		for _, f := range failed {
			_, key, _ := strings.Cut(f.Namespace(), ".") // cut the type's name
			out = append(out, Problem{Key: key, Text: describe(f)})
		}
	}
	return out
}

// must panics on an error in the program's own validate tags.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// mustDuration parses the parameter of a mindur or maxdur tag.
func mustDuration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	must(err)
	return d
}

// isValidName reports whether s is not empty and contains only letters, digits, '.', '_' and '-'.
func isValidName(s string) bool {
	for _, r := range s {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-", r) {
			return false
		}
	}
	return s != ""
}

// describe returns the text of a failed check: the value and what is allowed.
func describe(f validator.FieldError) string {
	value := f.Value()
	if d, ok := value.(Duration); ok {
		value = d.D().String()
	}
	switch f.Tag() {
	case "required":
		return "is missing"
	case "ipport":
		return fmt.Sprintf("%q: want an IP number and port, such as \"10.0.0.1:7000\"; host names are not looked up", value)
	case "name":
		return fmt.Sprintf("%q: want letters, digits, '.', '_' and '-'", value)
	case "min", "mindur":
		return fmt.Sprintf("is %v: want at least %s", value, f.Param())
	case "max", "maxdur":
		return fmt.Sprintf("is %v: want at most %s", value, f.Param())
	case "oneof":
		return fmt.Sprintf("is %q: want one of %s", value, f.Param())
	default:
		return fmt.Sprintf("is %v: want %s %s", value, f.Tag(), f.Param())
	}
}
