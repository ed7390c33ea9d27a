// Package cli holds the commands of the binary. docs/cli.md describes them
// with their exit codes.
package cli
