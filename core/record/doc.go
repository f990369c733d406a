// Package record writes the events of the control loop as JSON lines and reads
// them back, so that a run can be replayed through a new reducer. Each line is an
// object with the fields at (nanoseconds since the process started), wall (Unix
// milliseconds), type (name of the event's Go type) and body.
//
// Interface values inside an event, which are rows of the table service and peer
// messages, are written with the name of their Go type. Type names and untagged
// field names are therefore part of the file format, and renaming one breaks older
// recordings.
package record
