package node

import "fmt"

// ConfigError reports a configuration key whose value is invalid.
type ConfigError struct {
	// Key is the path of the key, such as budgets.term_ms, or the path of the list or section that holds the fault.
	Key string
	// Err is the underlying error if another package found the fault, otherwise nil.
	Err error

	detail string // the rest of the message after the key, with its separator
}

func (e *ConfigError) Error() string { return "config: " + e.Key + e.detail }

// Unwrap returns Err.
func (e *ConfigError) Unwrap() error { return e.Err }

// wrapConfigError returns a ConfigError for an error that the value of a key has caused.
func wrapConfigError(key string, err error) *ConfigError {
	return &ConfigError{Key: key, Err: err, detail: ": " + err.Error()}
}

// EnvironmentError reports an environment variable that cannot be used.
type EnvironmentError struct {
	// Variable is the name of the variable.
	Variable string
	// Err is the underlying error if the system or a decoder reported one, otherwise nil.
	Err error

	detail string
}

func (e *EnvironmentError) Error() string { return e.Variable + e.detail }

// Unwrap returns Err.
func (e *EnvironmentError) Unwrap() error { return e.Err }

// newEnvironmentError formats the rest of the message after the variable, with its separator.
func newEnvironmentError(variable string, cause error, format string, args ...any) *EnvironmentError {
	return &EnvironmentError{Variable: variable, Err: cause, detail: fmt.Sprintf(format, args...)}
}

// configErrors collects the faults of a configuration.
type configErrors []error

// add reports an invalid key with a formatted reason.
func (e *configErrors) add(key, format string, args ...any) {
	*e = append(*e, &ConfigError{Key: key, detail: ": " + fmt.Sprintf(format, args...)})
}

// addMissing reports a key that has no value.
func (e *configErrors) addMissing(key string) {
	*e = append(*e, &ConfigError{Key: key, detail: " is missing"})
}

// addNested reports an error that another package found in a section. Its message begins with the key in that section.
func (e *configErrors) addNested(section string, err error) {
	if err != nil {
		*e = append(*e, &ConfigError{Key: section, Err: err, detail: "." + err.Error()})
	}
}
