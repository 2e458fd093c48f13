package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The platform preloads a library into the process, which requires the dynamic linker. A statically linked program
// would run without the library. The test runs the build command of the deploy file with another output directory and
// inspects the binary.
func TestBuildLinksDynamically(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	deployValue := func(key string) string {
		match := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(deploy)
		if match == nil {
			t.Fatalf("the deploy file has no key %s", key)
		}
		return string(match[1])
	}
	if run := deployValue("run"); !strings.HasPrefix(run, "exec ") {
		t.Errorf("run = %q does not replace the shell by the program, want an exec command", run)
	}
	build := deployValue("build")
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	} else if !strings.Contains(string(readme), "\n    "+build+"\n") {
		t.Errorf("the README does not have the build command %q", build)
	}
	bin := t.TempDir()
	cmd := exec.Command("/bin/sh", "-c", strings.ReplaceAll(build, "bin/", bin+"/"))
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, out)
	}
	program, err := elf.Open(filepath.Join(bin, "brassmux"))
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	if !slices.ContainsFunc(program.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program has no PT_INTERP segment, so it is linked statically")
	}
	libraries, err := program.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libraries, func(library string) bool { return strings.HasPrefix(library, "libc.so") }) {
		t.Errorf("the program is linked against %v, want libc.so", libraries)
	}
}
