// Package conf holds the settings of a bulrushtrail process. They come from
// flags, environment variables (BULRUSHTRAIL_ and the flag's name in capitals,
// with _ for -) and a JSON file, in this order of precedence.
//
// All settings are checked before the process starts, and all errors are
// reported together. Unknown keys in the file are errors.
package conf
