package conf

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/fault"
)

// Load reads and checks the settings in a file and the secrets file it names.
// The error lists every fault with file, line and key.
func Load(path string) (Conf, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Conf{}, merry.Prependf(err, "reading settings")
	}
	c, faults := parse(data)
	if c.SecretsFile != "" && len(faults) == 0 {
		c.Secrets, faults = secrets(besides(path, c.SecretsFile))
	}
	for i, f := range faults {
		if f.File == "" {
			faults[i] = f.WithFile(path)
		}
	}
	if err := fault.Join(faults); err != nil {
		return Conf{}, merry.Prependf(err, "checking settings: %d faults", len(faults))
	}
	return c, nil
}

// besides returns name as seen from the folder of the settings file.
func besides(path, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// secrets reads a file with one shared key a line; blank lines and lines that start with # are left out.
func secrets(path string) ([]string, []fault.Fault) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []fault.Fault{fault.NewFault(keySecretsFile, "cannot be read: %v", err)}
	}
	var keys []string
	var faults []fault.Fault
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		keys = append(keys, line)
		if text := checkSecret(line); text != "" {
			faults = append(faults, fault.NewFault("", "%s", text).WithFile(path).WithLine(i+1))
		}
	}
	if len(keys) == 0 {
		faults = append(faults, fault.NewFault("", "holds no key").WithFile(path))
	}
	return keys, faults
}
