package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const commandWaitDelay = 2 * time.Second // for tamarackctl to end once it is interrupted

var importanceNames = map[structs.Importance]string{
	structs.ImportanceLow: "low", structs.ImportanceNormal: "normal",
	structs.ImportanceHigh: "high", structs.ImportanceUrgent: "urgent",
}

// applySheet writes the rows to a CSV file, as a spreadsheet exports them, and
// applies the file with tamarackctl.
func (d *demo) applySheet() (string, error) {
	const name = "sheet.csv"
	if err := writeSheet(filepath.Join(d.folder, name), sheetRows); err != nil {
		return "", err
	}
	program, err := filepath.Abs(filepath.Join(d.bin, "tamarackctl"))
	if err != nil {
		return "", oops.Wrapf(err, "find tamarackctl in %q", d.bin)
	}
	command := exec.CommandContext(d.ctx, program,
		"--host", d.EntryHosts[0].OperatorAddress, "--time-zone", "UTC", "apply", "--author", "planner", name)
	command.Dir, command.WaitDelay = d.folder, commandWaitDelay
	text, err := command.CombinedOutput()
	if err != nil {
		return "", oops.Wrapf(err, "tamarackctl apply: %s", text)
	}
	first, _, _ := strings.Cut(string(text), "\n")
	return "tamarackctl apply: " + first, nil
}

func writeSheet(path string, rows []structs.SheetRow) error {
	file, err := os.Create(path)
	if err != nil {
		return oops.Wrapf(err, "create the sheet file")
	}
	w := csv.NewWriter(file)
	records := [][]string{{"name", "kind", "team", "command", "importance", "count", "cores", "memory", "run time", "latency target"}}
	for _, r := range rows {
		records = append(records, []string{
			r.Name, string(r.Kind), r.Team, r.Command, importanceNames[r.Importance], strconv.Itoa(r.Count),
			fmt.Sprintf("%.3f", float64(r.Request.MilliCores)/1000), fmt.Sprintf("%d MB", r.Request.MemoryMB),
			millisecondsCell(r.RunTimeMS), millisecondsCell(r.LatencyTargetMS),
		})
	}
	err = w.WriteAll(records)
	if closed := file.Close(); err == nil {
		err = closed
	}
	return oops.Wrapf(err, "write the sheet file")
}

// millisecondsCell returns a duration in milliseconds as a cell of the sheet. The
// cell is empty for zero, which means that the row has none.
func millisecondsCell(n int64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%dms", n)
}
