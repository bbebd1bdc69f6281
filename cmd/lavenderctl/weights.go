package main

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/ledger"
)

func weightsCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "weights", Short: "Show or change the desired weight versions"}
	c.AddCommand(weightsSet(o), newListCommand(o, "list", "List the desired weight versions", "/v1/weights", "MODEL VERSION", func(w api.Weights) []any {
		return []any{w.Model, w.Version}
	}))
	return c
}

func weightsSet(o *options) *cobra.Command {
	var change api.WeightsChange
	var version, expected int64
	c := &cobra.Command{
		Use: "set MODEL", Short: "Publish a weight version of a model", Args: cobra.ExactArgs(1),
		Example: "  lavenderctl weights set matching --version 42 --expected-version 41",
		RunE: func(c *cobra.Command, args []string) error {
			before := ledger.Version(expected)
			change.Version, change.ExpectedVersion = ledger.Version(version), &before
			var current api.Weights
			a, err := o.call(c.Context(), http.MethodPut, "/v1/weights/"+url.PathEscape(args[0]), change, &current)
			if err != nil {
				return err
			}
			if a.status == http.StatusConflict {
				var conflict api.WeightsConflict
				if err := json.Unmarshal(a.body, &conflict); err != nil {
					return failf(exitConflict, "conflict: cannot decode answer: %w", err)
				}
				return failf(exitConflict, "conflict with version %d of %s, which was accepted first", conflict.Current.Version, args[0])
			}
			return o.print(current, "MODEL VERSION", [][]any{{current.Model, current.Version}})
		},
	}
	c.Flags().Int64Var(&version, "version", 0, "new weight version")
	c.Flags().Int64Var(&expected, "expected-version", 0, "version that the new one replaces; 0 if the model has none")
	c.Flags().StringVar(&change.ObjectKey, "object-key", "", "key of the weights in the weight store")
	_ = c.MarkFlagRequired("version")
	_ = c.MarkFlagRequired("expected-version")
	return c
}
