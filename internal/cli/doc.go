// Package cli owns the commands of the binary: flags, output and exit codes.
// docs/cli.md describes them.
package cli
