package heartbeat

import "baobabstep"

// maxEvacuatedDataCentres limits the data centres of one message.
const maxEvacuatedDataCentres = 64

// EvacuationList lists all evacuated data centres, which get no new flows. It is always
// sent completely, because it is short and operators expect it to take effect at once.
type EvacuationList struct {
	VersionInfo VersionInfo `cbor:"1,keyasint"`
	DataCentres []string    `cbor:"2,keyasint,omitempty"`
}

// NewEvacuationList returns a list of data centres, which must be sorted. Errors:
// CodeTooLarge.
func NewEvacuationList(held VersionInfo, dataCentres []string) (*EvacuationList, error) {
	if len(dataCentres) > maxEvacuatedDataCentres {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "heartbeat.evacuations", "got %d data centres, want at most %d", len(dataCentres), maxEvacuatedDataCentres)
	}
	return &EvacuationList{VersionInfo: held, DataCentres: dataCentres}, nil
}

// EvacuationsChecksum returns the checksum of sorted data centres. Errors: CodeInternal.
func EvacuationsChecksum(dataCentres []string) (uint64, error) {
	list := append([]string{}, dataCentres...) // nil and an empty slice are encoded differently
	content, err := encMode.Marshal(list)
	if err != nil {
		return 0, baobabstep.Errorf(baobabstep.CodeInternal, "heartbeat.evacuations", "%w", err)
	}
	return Checksum(content), nil
}
