// Package bulk stores and reads segments at the depots.
//
// A segment is stored at two depots in different data centres, or, when all
// depots are in one data centre, at any two. When a depot fails, another pair is
// tried. Reads use any copy; when one fails, they continue with the next copy at
// the same offset.
package bulk
