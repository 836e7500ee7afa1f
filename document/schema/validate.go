package schema

import (
	"net"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// ruleDescriptions describes the values that each custom validation rule accepts.
var ruleDescriptions = map[string]string{
	"name":    "1 to 63 lower-case letters, digits and dashes, a letter first",
	"addr":    "an IP number or host name with a port, such as 10.0.0.7:7443",
	"baseurl": "a URL such as http://127.0.0.1:8080",
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(tomlName)
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		return f.Interface().(Duration).Duration
	}, Duration{})
	registerRule(v, "name", namePattern.MatchString)
	registerRule(v, "addr", isAddr)
	registerRule(v, "baseurl", isBaseURL)
	return v
}

func registerRule(v *validator.Validate, rule string, ok func(string) bool) {
	err := v.RegisterValidation(rule, func(f validator.FieldLevel) bool {
		return ok(f.Field().String())
	})
	if err != nil {
		panic(err) // the rule names are constants
	}
}

func isAddr(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}

// keyPath returns the path of a key without the type name and embedded structs of the
// validator's namespace.
func keyPath(fe validator.FieldError) string {
	parts := strings.Split(fe.Namespace(), ".")[1:]
	kept := parts[:0]
	for _, p := range parts {
		if p != "" && (p[0] < 'A' || p[0] > 'Z') {
			kept = append(kept, p)
		}
	}
	return strings.Join(kept, ".")
}
