// Package advice passes the calls of one machine to the platform's admission advice
// service, which handles one call of a machine at a time and refuses calls when too
// many of them wait.
package advice
