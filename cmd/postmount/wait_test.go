package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/operators/api"
	"github.com/postmount/postmount/operators/client"
	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/verdict"
)

// TestTheNameOfAWaveIsNoStatement: "wait" sends its argument as a value, whatever it contains.
func TestTheNameOfAWaveIsNoStatement(t *testing.T) {
	var sent []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req api.ExecRequest
		assert.NoError(t, json.NewDecoder(r.Body).Decode(&req))
		sent = append(sent, req.Text)
		_ = json.NewEncoder(w).Encode(api.ExecResponse{Results: []api.Result{{Verdict: verdict.Done}}})
	}))
	defer srv.Close()
	c := client.New([]string{strings.TrimPrefix(srv.URL, "http://")}, time.Second)
	for _, name := range []string{"w", "w; drain instance i-1", "two words"} {
		_, _, err := waveProgress(context.Background(), c, name)
		require.Error(t, err, "there is no such wave")
		p, err := query.Parse(sent[len(sent)-1])
		require.NoError(t, err, name)
		require.Len(t, p.Statements, 1, name)
		assert.EqualValues(t, name, p.Statements[0].Show.Where[0].Value)
	}
	known := len(sent)
	_, _, err := waveProgress(context.Background(), c, `w" ; drain instance i-1`)
	require.Error(t, err)
	assert.Equal(t, verdict.NotRun, verdict.Of(err))
	assert.Len(t, sent, known, "nothing is sent for a name that cannot be quoted")
}
