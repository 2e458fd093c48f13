package node

import (
	"encoding/json"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// collectKeys adds the keys of a configuration, in the form of the configuration page, with their fields.
func collectKeys(prefix string, value reflect.Value, keys map[string]reflect.Value) {
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		field := value.Field(i)
		switch {
		case field.Kind() == reflect.Struct:
			collectKeys(prefix+name+".", field, keys)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			collectKeys(prefix+name+"[].", reflect.New(field.Type().Elem()).Elem(), keys)
		default:
			keys[prefix+name] = field
		}
	}
}

// Guards against a configuration page with missing or superfluous keys, or with wrong defaults.
func TestConfigurationPageListsAllKeys(t *testing.T) {
	page, err := os.ReadFile("../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	var cfg Config
	cfg.Validate() // sets the defaults
	keys := map[string]reflect.Value{}
	collectKeys("", reflect.ValueOf(&cfg).Elem(), keys)
	var documentedKeys []string
	rowPattern := regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\|")
	for _, row := range rowPattern.FindAllStringSubmatch(string(page), -1) {
		key, defaultValue := row[1], row[2]
		documentedKeys = append(documentedKeys, key)
		field, ok := keys[key]
		if !ok {
			t.Errorf("the page documents %s, which is not a key", key)
			continue
		}
		if want, err := strconv.ParseInt(defaultValue, 10, 64); err == nil && field.CanInt() &&
			field.Int() != want && field.Int() != 0 {
			t.Errorf("the default of %s is %d, not %d", key, field.Int(), want)
		} else if err != nil && field.CanInt() && field.Int() != 0 {
			t.Errorf("the default of %s is %d, not %q", key, field.Int(), defaultValue)
		}
	}
	for key := range keys {
		if !slices.Contains(documentedKeys, key) {
			t.Errorf("the page does not document %s", key)
		}
	}
}

// Guards against examples of control machines on the configuration page that are invalid in an otherwise complete
// configuration.
func TestConfigurationPageExamplesAreValid(t *testing.T) {
	page, err := os.ReadFile("../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	var roles []string
	examplePattern := regexp.MustCompile(`(?m)^    \{"settings(?:.*\n(?:     .*\n)*)`)
	for _, text := range examplePattern.FindAllString(string(page), -1) {
		cfg := leasingConfig(t)
		cfg.Peers, cfg.Budgets = Peers{}, Budgets{}
		if err := json.Unmarshal([]byte(text), &cfg); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if faults := cfg.Validate(); len(faults) > 0 {
			t.Errorf("%s: %v", text, faults)
		}
		switch {
		case len(cfg.Peers.ControlAddrs) > 0:
			roles = append(roles, "node")
		case cfg.Peers.ChildListen != "":
			roles = append(roles, "control machine")
		}
	}
	if !slices.Equal(roles, []string{"node", "control machine"}) {
		t.Errorf("the examples are of %q", roles)
	}
}
