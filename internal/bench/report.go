package bench

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of one measurement.
type Report struct {
	Command       string            `json:"command"`
	Started       time.Time         `json:"started"`
	GoVersion     string            `json:"go_version"`
	Cores         int               `json:"cores"`
	Configuration map[string]string `json:"configuration"` // all flags, the seed included
	Tables        []Table           `json:"tables"`
}

// Table is one table of figures. Column names include the unit.
type Table struct {
	Title   string   `json:"title"`
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

func newReport(command string, set *flag.FlagSet) *Report {
	r := &Report{Started: time.Now().UTC(), GoVersion: runtime.Version(), Cores: runtime.NumCPU(), Configuration: map[string]string{}}
	parts := []string{"foxtailhub-bench", command}
	set.VisitAll(func(f *flag.Flag) {
		if f.Name == "json" || f.Name == "binaries" {
			return
		}
		r.Configuration[f.Name] = f.Value.String()
		parts = append(parts, fmt.Sprintf("-%s=%s", f.Name, f.Value))
	})
	r.Command = strings.Join(parts, " ")
	return r
}

func (r *Report) add(title string, columns []string, rows [][]any) {
	r.Tables = append(r.Tables, Table{Title: title, Columns: columns, Rows: rows})
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as text tables.
func (r *Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "command: %s\nstarted: %s  go: %s  cores: %d\n",
		r.Command, r.Started.Format(time.RFC3339), r.GoVersion, r.Cores)
	if err != nil {
		return err
	}
	for _, table := range r.Tables {
		if err := table.write(w); err != nil {
			return err
		}
	}
	return nil
}

func (t Table) write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "\n%s\n", t.Title); err != nil {
		return err
	}
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tabs, strings.Join(t.Columns, "\t")+"\t") // Flush returns the error
	for _, row := range t.Rows {
		for _, cell := range row {
			_, _ = fmt.Fprint(tabs, formatCell(cell), "\t")
		}
		_, _ = fmt.Fprintln(tabs)
	}
	return tabs.Flush()
}

func formatCell(cell any) string {
	value, isFloat := cell.(float64)
	switch {
	case !isFloat:
		return fmt.Sprint(cell)
	case value != 0 && value < 1 && value > -1:
		return fmt.Sprintf("%.4f", value)
	default:
		return fmt.Sprintf("%.1f", value)
	}
}
