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
	for i := range s.OperatorKeys {
		s.OperatorKeys[i].Secret = hidden
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}

// hidden stands for a secret in what is printed.
const hidden = "(hidden)"

func hide(keys []string) []string {
	list := make([]string, len(keys))
	for i := range keys {
		list[i] = hidden
	}
	return list
}
