package settings

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"brassmux/balance"
)

// ServerID is a server's ID as configured at the site: a number, or a name that is hashed to one. Rankings of servers
// depend on the ID, so all nodes must compute the same number, also after a restart.
type ServerID balance.ServerID

// ServerIDError reports a server ID that is neither an unsigned integer nor a non-empty string.
type ServerIDError struct{ JSON string }

func (e *ServerIDError) Error() string {
	return fmt.Sprintf("server id %s is neither an unsigned integer nor a non-empty string", e.JSON)
}

// UnmarshalJSON decodes an unsigned integer or a non-empty string. It returns a *ServerIDError for any other value.
func (id *ServerID) UnmarshalJSON(data []byte) error {
	var number uint64
	if json.Unmarshal(data, &number) == nil {
		*id = ServerID(number)
		return nil
	}
	var name string
	if err := json.Unmarshal(data, &name); err != nil || name == "" {
		return &ServerIDError{JSON: string(data)}
	}
	*id = HashServerID(name)
	return nil
}

// HashServerID returns the ID of the server with the given name.
func HashServerID(name string) ServerID { return ServerID(xxhash.Sum64String(name)) }
