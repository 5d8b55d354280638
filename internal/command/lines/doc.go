// Package lines writes log lines without ever holding up the program.
package lines
