// Package worklog writes records to the platform's log and reads them back: an
// appender and a journal that retry each append until its outcome is known, and
// a reader that reads a topic in order, also when older records have been
// deleted before it read them. It does not interpret records.
package worklog
