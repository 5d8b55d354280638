// Package conf holds the settings of one process: flags, environment variables
// (BULRUSHTRAIL_ and the flag's name in capitals, with _ for -) and a JSON
// file, in this order of precedence.
//
// Settings are checked before the process does anything, and every fault is
// named. Unknown keys in the file are faults.
package conf
