// Package bulk stores and reads segments at the depots.
//
// A segment is stored at two depots in different data centres, or at two
// depots when all are in one data centre. When a depot fails, another pair is
// taken. Reads use any copy and go on with the next one where a copy fails.
package bulk
