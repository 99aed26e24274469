package apikey

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestKeyring(t *testing.T) {
	r := Keyring{}
	require.NoError(t, r.Add("k1", "one"))
	require.NoError(t, r.Add("k2", "one"), "a tenant has several keys during key rotation")
	require.NoError(t, r.Add("k1", "one"))
	require.ErrorIs(t, r.Add("k1", "two"), ErrShared)
	require.ErrorIs(t, r.Add("", "two"), ErrEmpty)

	tenant, ok := r.Tenant("k2")
	assert.True(t, ok)
	assert.Equal(t, "one", tenant)
	for _, wrong := range []string{"", "k", "k11", "K1"} {
		_, ok := r.Tenant(wrong)
		assert.False(t, ok, wrong)
	}
}

// TestEncodedKeyringContainsNoKeys: the encoded keyring does not contain the keys, and can be decoded
// again.
func TestEncodedKeyringContainsNoKeys(t *testing.T) {
	r := Keyring{}
	require.NoError(t, r.Add("very-secret", "one"))
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	assert.NotContains(t, string(raw), "very-secret")
	var again Keyring
	require.NoError(t, json.Unmarshal(raw, &again))
	assert.Equal(t, r, again)
	require.Error(t, json.Unmarshal([]byte(`{"abc":"one"}`), &again))
}
