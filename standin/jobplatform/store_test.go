package jobplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
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

// Guards against a store that is kinder than the protocol: a transaction without an answer may
// be performed seconds later if its conditions still hold, and the history may be short.
func TestLateTransactionAndShortHistory(t *testing.T) {
	request := func(s *Store, method, path, body string) (answer *httptest.ResponseRecorder) {
		answer = httptest.NewRecorder()
		defer func() {
			if recover() != nil {
				answer.Code = 0
			}
		}()
		s.ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
		return answer
	}
	const create = `{"ExpectedRevision":[{"Table":"t","Key":"a","RowVersion":0}],"SetKeys":[{"Table":"t","Key":"a","Value":"eA=="}]}`
	store := NewStore()
	store.SetFaults(StoreFaults{LateCommitRate: 1, MaxLateCommit: 50 * time.Millisecond, MaxHistory: 1})
	if code := request(store, http.MethodPost, "/tamarackstep/rows-tx", create).Code; code != 0 {
		t.Fatalf("status %d, want no answer", code)
	}
	waitFor(t, func() bool { return len(store.Rows("t")) == 1 })
	version := store.Rows("t")[0].RowVersion
	request(store, http.MethodPost, "/tamarackstep/rows-tx", create)
	time.Sleep(100 * time.Millisecond)
	if now := store.Rows("t")[0].RowVersion; now != version {
		t.Errorf("version %d after a late transaction whose condition does not hold, want %d", now, version)
	}
	store.Put("t", "b", nil)
	store.Put("t", "c", nil)
	if code := request(store, http.MethodGet, "/tamarackstep/rows-feed?Table=t&After=0", "").Code; code != http.StatusGone {
		t.Errorf("status %d for history that was discarded, want 410", code)
	}
}
