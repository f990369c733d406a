// Package sheet reads, checks, compares and merges sheets. It has no state: all
// functions are pure and none changes its arguments.
//
// Parse reads a file that planners export from a spreadsheet; Check verifies rows
// that arrive in another encoding. Both report every fault that they find.
package sheet
