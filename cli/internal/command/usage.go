package command

const (
	program = "tamarackctl"
	summary = "Operate tamarackstep: plan and apply sheets, see the status, stop work, explain logs."
)

// Example of each command, which its --help shows.
const (
	examplePlan    = `tamarackctl --host 10.0.0.1:7201 --time-zone Europe/Sofia plan sheet.csv`
	exampleApply   = `tamarackctl --host 10.0.0.1:7201 --time-zone Europe/Sofia apply sheet.csv --base 41 --confirm-removals 5`
	exampleStatus  = `tamarackctl --host 10.0.0.1:7201,10.0.0.2:7201 status --tasks`
	exampleExplain = `tamarackctl --host 10.0.0.1:7201 explain member-portal`
	exampleStop    = `tamarackctl --host 10.0.0.1:7201 stop tolerance-study-44 --author ngozi`
	exampleResume  = `tamarackctl --host 10.0.0.1:7201 resume tolerance-study-44 --author ngozi`
	exampleDrain   = `tamarackctl --host 10.0.0.3:7201 drain`
	exampleCheck   = `tamarackctl --time-zone Africa/Lagos check sheet.csv`
	exampleReplay  = `tamarackctl replay events.jsonl --subject member-portal`
	exampleTrace   = `tamarackctl trace 5c0e7a21d94b36f8.0.1.17 front-a-1.log front-b-1.log`
	exampleReport  = `tamarackctl report --svg day.svg front-a-1.log front-b-1.log`
)

// usageTemplate is kingpin's usage template with examples and exit statuses added.
const usageTemplate = `{{define "FormatCommand" -}}
{{range .Args}} {{if not .Required}}[{{end}}<{{.Name}}>{{if .Value|IsCumulative}}...{{end}}{{if not .Required}}]{{end}}{{end -}}
{{end -}}
{{if .Context.SelectedCommand -}}
usage: {{.App.Name}} [<flags>] {{.Context.SelectedCommand}}{{template "FormatCommand" .Context.SelectedCommand}}

{{.Context.SelectedCommand.Help|Wrap 0}}
{{if .Context.SelectedCommand.HelpLong -}}
Example:
  {{.Context.SelectedCommand.HelpLong}}

{{end -}}
{{else -}}
usage: {{.App.Name}} [<flags>] <command> [<args>...]

{{.App.Help|Wrap 0}}
{{end -}}
Flags:
{{.Context.Flags|FlagsToTwoColumns|FormatTwoColumns}}
{{if .Context.Args -}}
Args:
{{.Context.Args|ArgsToTwoColumns|FormatTwoColumns}}
{{end -}}
{{if not .Context.SelectedCommand -}}
Commands:
{{range .App.FlattenedCommands}}{{if not .Hidden}}  {{.FullCommand}}{{template "FormatCommand" .}}
{{.Help|Wrap 4}}{{end}}{{end}}
{{end -}}
Exit status:
  0  done
  1  refused, conflict, or a sheet with faults; nothing was changed
  2  wrong arguments, or the file cannot be read
  3  no entry host could be reached; nothing was changed
  4  the outcome of a change is unknown
  5  an entry host answered with an error
`
