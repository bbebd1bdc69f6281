package accesskey_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/accesskey"
	"github.com/lavenderstand/lavenderstand/desired"
)

func ExampleIndex() {
	priority := 1
	index, err := accesskey.New([]desired.Organisation{{Name: "acme", Keys: []string{"k1", "k2"}, Priority: &priority}})
	if err != nil {
		panic(err)
	}
	key, _ := accesskey.Single([]string{"k2"})
	fmt.Println(index.Organisation(key))
	fmt.Println(index.Organisation("k3"))
	fmt.Println(index.Priority("acme"))
	// Output:
	// acme true
	//  false
	// 1 true
}

// TestInvalidOrganisations guards against a key that gets the name of one of two
// organisations that both hold it, against keys without a usable name, and against keys in
// the error, which is logged.
func TestInvalidOrganisations(t *testing.T) {
	for name, organisations := range map[string][]desired.Organisation{
		"shared key":   {{Name: "a", Keys: []string{"shared", "own"}}, {Name: "b", Keys: []string{"shared"}}, {Name: "a", Keys: []string{"shared"}}},
		"empty name":   {{Name: "", Keys: []string{"shared"}}, {Name: "a", Keys: []string{"own"}}},
		"name of tabs": {{Name: "x\ty", Keys: []string{"shared"}}, {Name: "a", Keys: []string{"own"}}},
		"empty key":    {{Name: "a", Keys: []string{"", "own"}}},
	} {
		index, err := accesskey.New(organisations)
		require.Error(t, err, name)
		require.NotContains(t, err.Error(), "shared\"", name)
		for _, key := range []string{"shared", ""} {
			_, ok := index.Organisation(key)
			require.False(t, ok, name)
		}
		owner, _ := index.Organisation("own")
		require.Equal(t, "a", owner, name)
	}
	none, err := accesskey.New(nil)
	require.NoError(t, err)
	require.Nil(t, none, "no list means that callers are not told apart")
	empty, err := accesskey.New([]desired.Organisation{})
	require.NoError(t, err)
	require.NotNil(t, empty, "an empty list means that no key is valid")
}

// BenchmarkOrganisation measures a lookup among 100,000 keys, which must take less than 200 ns.
func BenchmarkOrganisation(b *testing.B) {
	organisations := make([]desired.Organisation, 100)
	var keys []string
	for i := range organisations {
		organisations[i].Name = fmt.Sprintf("organisation-%d", i)
		for k := range 1000 {
			key := fmt.Sprintf("key-%d-%d-0123456789abcdef", i, k)
			organisations[i].Keys = append(organisations[i].Keys, key)
			keys = append(keys, key)
		}
	}
	index, err := accesskey.New(organisations)
	if err != nil {
		b.Fatal(err)
	}
	i := 0
	for b.Loop() {
		i = (i + 7919) % len(keys) // a prime, so that successive keys are far apart
		if _, ok := index.Organisation(keys[i]); !ok {
			b.Fatal("key not found")
		}
	}
}
