package jobplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a stand-in that takes what the platform's store rejects, so that tests do
// not see rows and transactions that have outgrown its limits.
func TestStoreLimits(t *testing.T) {
	row := func(part string, key, bytes int) Row {
		return Row{Table: "t", Part: part, Key: fmt.Sprint(key), Value: []byte(strings.Repeat("x", bytes))}
	}
	var many, large []Row
	for i := range maxCallEntries + 1 {
		many, large = append(many, row("", i, 1)), append(large, row("", i, MaxRowBytes/4))
	}
	for name, c := range map[string]struct {
		rows []Row
		want int
	}{
		"within":          {many[1:], http.StatusOK},
		"row at limit":    {[]Row{row("", 0, MaxRowBytes)}, http.StatusOK},
		"row over limit":  {[]Row{row("", 0, MaxRowBytes+1)}, http.StatusBadRequest},
		"many entries":    {many, http.StatusBadRequest},
		"large call":      {large[1:], http.StatusBadRequest},
		"several parts":   {[]Row{row("a", 0, 1), row("b", 0, 1)}, http.StatusBadRequest},
		"single rows fit": {large[:1], http.StatusOK},
	} {
		body, err := json.Marshal(transaction{SetKeys: c.rows})
		if err != nil {
			t.Fatal(err)
		}
		store, answer := NewStore(), httptest.NewRecorder()
		store.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/tamarackstep/rows-tx", strings.NewReader(string(body))))
		if answer.Code != c.want || len(store.Rejected()) > 0 != (c.want != http.StatusOK) {
			t.Errorf("%s: status %d, rejected %v", name, answer.Code, store.Rejected())
		}
	}
}
