package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/status"
)

func configCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Show or change the configuration"}
	c.AddCommand(configGet(o), configSet(o), configHistory(o))
	return c
}

func (o *options) readConfig(ctx context.Context) (current status.Config, err error) {
	_, err = o.call(ctx, http.MethodGet, "/v1/config", nil, &current)
	return current, err
}

func configGet(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "get", Short: "Print the configuration as TOML, or as JSON with -o json", Args: cobra.NoArgs,
		Example: "  lavenderctl config get > current.toml",
		RunE: func(c *cobra.Command, _ []string) error {
			current, err := o.readConfig(c.Context())
			if err != nil {
				return err
			}
			if o.output == outputJSON {
				return o.print(current, "", nil)
			}
			text, err := toml.Marshal(current.Body)
			if err == nil {
				_, err = fmt.Fprintf(o.out, "# version %d\n%s", current.Version, text)
			}
			return outputError(err)
		},
	}
}

func configSet(o *options) *cobra.Command {
	var file, author string
	var expected uint64
	c := &cobra.Command{
		Use: "set", Short: "Replace the configuration with a TOML or JSON file", Args: cobra.NoArgs,
		Long: "Replace the configuration with a file if its current version is --expected-version:\n" +
			"the version on which the file is based, or 0 if there is no configuration yet.",
		Example: "  lavenderctl config set --file pamoja.config.toml --expected-version 7",
		RunE: func(c *cobra.Command, _ []string) error {
			body, err := readConfigFile(file)
			if err != nil {
				return err
			}
			return o.changeConfig(c.Context(), expected, author, body)
		},
	}
	c.Flags().StringVar(&file, "file", "", "file with the new configuration, .toml or .json")
	c.Flags().Uint64Var(&expected, "expected-version", 0, "version that the file replaces")
	c.Flags().StringVar(&author, "author", "", "name of the author, recorded with the principal")
	_ = c.MarkFlagRequired("file")
	_ = c.MarkFlagRequired("expected-version")
	return c
}

// readConfigFile reads a configuration and checks it.
func readConfigFile(path string) (body plan.Config, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return body, failf(exitError, "%w", err)
	}
	if filepath.Ext(path) == ".json" {
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		err = d.Decode(&body)
	} else {
		err = toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&body)
	}
	if err == nil {
		err = body.Check()
	}
	if err != nil {
		return body, failf(exitError, "%s: %w", path, err)
	}
	return body, nil
}

// changeConfig sends a change. After a conflict, the error names the version that was
// accepted first and the keys in which it differs.
func (o *options) changeConfig(ctx context.Context, expected uint64, author string, body plan.Config) error {
	var accepted api.ConfigAnswer
	change := api.ConfigChange{ExpectedVersion: &expected, Author: author, Config: body}
	a, err := o.call(ctx, http.MethodPut, "/v1/config", change, &accepted)
	if err != nil {
		return err
	}
	if a.status == http.StatusConflict {
		var conflict api.ConfigConflict
		if err := json.Unmarshal(a.body, &conflict); err != nil {
			return failf(exitConflict, "conflict: cannot decode answer: %w", err)
		}
		return failf(exitConflict, "conflict with version %d by %s, which was accepted first; differing keys:%s", conflict.Current.Version,
			conflict.Current.Author, listKeys(differingKeys(body, conflict.Current.Config)))
	}
	return o.print(accepted, "VERSION AUTHOR", [][]any{{accepted.Version, accepted.Author}})
}

func configHistory(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "List all versions of the configuration", Args: cobra.NoArgs,
		Example: "  lavenderctl config history",
		RunE: func(c *cobra.Command, _ []string) error {
			var records []api.ConfigRecord
			if _, err := o.call(c.Context(), http.MethodGet, "/v1/config/history", nil, &records); err != nil {
				return err
			}
			rows := make([][]any, len(records))
			for i, r := range records {
				rows[i] = []any{r.Version, r.Author, len(r.Config)}
			}
			return o.print(records, "VERSION AUTHOR BYTES", rows)
		},
	}
}
