package app

import (
	"io"

	"github.com/tamarackstep/tamarackstep/cli/internal/command"
	"github.com/tamarackstep/tamarackstep/cli/internal/logread"
	"github.com/tamarackstep/tamarackstep/cli/internal/render"
	"github.com/tamarackstep/tamarackstep/cli/internal/trace"
)

// traceLogs reads the logs that the command names twice: for the lines of the
// subject, then for those of the workers, leaders and hosts involved.
func traceLogs(c command.Trace, stdin io.Reader, origin render.Origin) render.Report {
	subject, err := trace.ParseSubject(c.ID)
	if err != nil {
		return render.Failure{Origin: origin, Status: render.ExitUsage, Message: err.Error()}
	}
	logs, err := logread.Open(c.Logs, stdin)
	if err != nil {
		return render.Failure{Origin: origin, Status: render.ExitUsage, Message: err.Error()}
	}
	defer logs.Close()
	survey := trace.NewSurvey(subject)
	files := logs.Visit(survey.Add)
	gather := trace.NewGather(survey, c.Window)
	logs.Visit(gather.Add)
	return render.Trace{Origin: origin, Findings: trace.Analyse(gather), Files: files, MaxLines: c.Lines}
}
