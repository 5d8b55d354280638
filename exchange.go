package trail

import "fmt"

// Exchange tells where a response stands on its connection, as far as this process has
// opened the connection.
type Exchange struct {
	// Requests that the connection has carried, with that of the response, but
	// without a probe.
	requests int
	// Responses to other requests that came in place of this one.
	passedOver int
	// The connection had carried a request with the same id before.
	repeated bool
}

// NewExchange returns the exchange of the requests-th request on its connection, whose
// response came after passedOver others. repeated says whether the connection had carried
// a request with the same id before.
func NewExchange(requests, passedOver int, repeated bool) Exchange {
	return Exchange{requests: requests, passedOver: passedOver, repeated: repeated}
}

// Requests returns the number of requests that the connection has carried, 0 if it is
// that of another front.
func (x Exchange) Requests() int { return x.requests }

// PassedOver returns the number of responses to other requests that came before.
func (x Exchange) PassedOver() int { return x.passedOver }

// Repeated reports whether the connection had carried a request with the same id before.
func (x Exchange) Repeated() bool { return x.repeated }

func (x Exchange) String() string {
	t := fmt.Sprintf("request %d of its connection, %d responses passed over", x.requests, x.passedOver)
	if x.repeated {
		t += ", id repeated"
	}
	return t
}
