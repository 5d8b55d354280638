// Package member registers this front on the platform, so that other fronts can
// look up its peer address.
package member
