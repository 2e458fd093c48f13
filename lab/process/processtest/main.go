// Package processtest builds the program for tests that start it as processes.
package processtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main is the body of a TestMain function. It builds the program in a temporary directory, sets binary to its path,
// runs the tests, removes the directory and exits. It panics if the program cannot be built.
func Main(m *testing.M, binary *string) {
	dir, err := os.MkdirTemp("", "brassmux")
	if err != nil {
		panic(err)
	}
	*binary = filepath.Join(dir, "brassmux")
	if output, err := exec.Command("go", "build", "-o", *binary, "brassmux/cmd/brassmux").CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}
