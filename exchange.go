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
}

// NewExchange returns the exchange of the requests-th request on its connection, whose
// response came after passedOver others.
func NewExchange(requests, passedOver int) Exchange {
	return Exchange{requests: requests, passedOver: passedOver}
}

// Requests returns the number of requests that the connection has carried, 0 if it is
// that of another front.
func (x Exchange) Requests() int { return x.requests }

// PassedOver returns the number of responses to other requests that came before.
func (x Exchange) PassedOver() int { return x.passedOver }

func (x Exchange) String() string {
	return fmt.Sprintf("request %d of its connection, %d responses passed over", x.requests, x.passedOver)
}
