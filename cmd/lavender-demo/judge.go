package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/standin"
)

func judgeCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "judge", Short: "Compare what clients received with the ledgers", RunE: func(*cobra.Command, []string) error {
		return judgeRun(dir)
	}}
	c.Flags().StringVar(&dir, "dir", "", "directory of the run")
	_ = c.MarkFlagRequired("dir")
	return c
}

func judgeRun(dir string) error {
	var received standin.Received
	data, err := os.ReadFile(filepath.Join(dir, "received.json"))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &received); err != nil {
		return err
	}
	entries, err := readLedgers(dir)
	if err != nil {
		return err
	}
	result := standin.Judge(received, entries)
	for _, problem := range result.Problems {
		fmt.Println(problem)
	}
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if !result.Passed() {
		return errors.New("the run did not pass")
	}
	return nil
}

func readLedgers(dir string) ([]standin.Entry, error) {
	files, err := filepath.Glob(filepath.Join(dir, "ledgers", "*.jsonl"))
	if err != nil {
		return nil, err
	}
	var all []standin.Entry
	for _, file := range files {
		entries, err := standin.ReadJournal(file)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}
