// Package member registers this front with the platform, so that the other
// fronts find its peer address.
package member
