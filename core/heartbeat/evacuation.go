package heartbeat

import "baobabstep"

// maxEvacuated bounds the data centres of one message.
const maxEvacuated = 64

// EvacuationList is all data centres that get no new flow. It travels whole:
// there are few, and operators want them in force at once.
type EvacuationList struct {
	Held        Held     `cbor:"1,keyasint"`
	DataCentres []string `cbor:"2,keyasint,omitempty"`
}

// NewEvacuationList returns the list of the given data centres, which have to be
// sorted. Errors: CodeTooLarge.
func NewEvacuationList(held Held, dataCentres []string) (*EvacuationList, error) {
	if len(dataCentres) > maxEvacuated {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "heartbeat.evacuations", "got %d data centres, want at most %d", len(dataCentres), maxEvacuated)
	}
	return &EvacuationList{Held: held, DataCentres: dataCentres}, nil
}

// EvacuationsSum returns the checksum of a list, whose data centres have to be
// sorted. Errors: CodeInternal.
func EvacuationsSum(dataCentres []string) (uint64, error) {
	list := append([]string{}, dataCentres...) // none and an empty list are encoded differently
	content, err := encMode.Marshal(list)
	if err != nil {
		return 0, baobabstep.Errorf(baobabstep.CodeInternal, "heartbeat.evacuations", "%w", err)
	}
	return Sum(content), nil
}
