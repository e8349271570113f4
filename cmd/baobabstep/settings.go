package main

import (
	"encoding/json"
	"fmt"

	"baobabstep/io/setting"
)

type checkSettings struct {
	File string `arg:"" help:"Settings file (JSON)." type:"existingfile"`
}

// Run implements the command. Keys are not printed.
func (c checkSettings) Run() error {
	s, err := setting.Read(c.File)
	if err != nil {
		return err
	}
	s.PeerKeys = hide(s.PeerKeys)
	s.OperatorKeys = hide(s.OperatorKeys)
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}

func hide(keys []string) []string {
	hidden := make([]string, len(keys))
	for i := range keys {
		hidden[i] = "(hidden)"
	}
	return hidden
}
