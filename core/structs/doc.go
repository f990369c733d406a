// Package structs defines the data types that all other packages share: rows of
// the sheet, rows of the table service, tasks, jobs, workers and resources. It
// has no state, makes no decisions and knows no wire format; its functions only
// compute values and the keys of rows.
package structs
