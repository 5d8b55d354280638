package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Orders under /orders/. Each requires one field of its body: model, adapter,
// version or role.
const (
	orderLoadModel   = "load-model"
	orderLoadAdapter = "load-adapter"
	orderSetVersion  = "set-version"
	orderSetRole     = "set-role"
)

// orderState is the configuration that the applied orders have set.
type orderState struct {
	model    string
	adapters []string
	version  string
	role     string
	// Whether fencing tokens are checked, and the highest one applied.
	checksFencing bool
	highestToken  int64
	// All orders that were applied, in order.
	applied []orderForm
}

// orderForm is the body of an order and an entry of GET /control/orders. Error
// responses to an invalid body contain the name of this type.
type orderForm struct {
	Order   string `json:"order,omitempty"`
	Token   int64  `json:"fencing-token,omitempty"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// adapterForm is the body of POST /v1/load_lora_adapter. Its field names are in
// snake case, as in the API of real engines. Error responses to an invalid body
// contain the name of this type.
type adapterForm struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

type ordersForm struct {
	Model    string      `json:"model"`
	Adapters []string    `json:"adapters"`
	Version  string      `json:"version"`
	Role     string      `json:"role"`
	Applied  []orderForm `json:"applied"`
}

// serves reports whether the model is the base model or a loaded adapter.
func (s *orderState) serves(model string) bool {
	return model == s.model || slices.Contains(s.adapters, model)
}

// apply applies one order and returns the HTTP status of the response: 409 if
// tokens are checked and this one is lower than the highest applied, 400 if the
// order is unknown or lacks its field.
func (s *orderState) apply(order orderForm) int {
	if s.checksFencing && order.Token < s.highestToken {
		return http.StatusConflict
	}
	switch {
	case order.Order == orderLoadModel && order.Model != "":
		s.model = order.Model
	case order.Order == orderLoadAdapter && order.Adapter != "":
		if !slices.Contains(s.adapters, order.Adapter) {
			s.adapters = append(s.adapters, order.Adapter)
		}
	case order.Order == orderSetVersion && order.Version != "":
		s.version = order.Version
	case order.Order == orderSetRole && order.Role != "":
		s.role = order.Role
	default:
		return http.StatusBadRequest
	}
	s.highestToken = max(s.highestToken, order.Token)
	s.applied = append(s.applied, order)
	return http.StatusOK
}

func (s *Engine) loadAdapter(w http.ResponseWriter, r *http.Request) {
	f := adapterForm{}
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f)
	if e != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", e.Error())
		return
	}
	s.applyOrder(w, r, orderForm{Order: orderLoadAdapter, Adapter: f.Name})
}

func (s *Engine) order(w http.ResponseWriter, r *http.Request) {
	f := orderForm{}
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f)
	if e != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", e.Error())
		return
	}
	f.Order = r.PathValue("order")
	s.applyOrder(w, r, f)
}

func (s *Engine) applyOrder(w http.ResponseWriter, r *http.Request, order orderForm) {
	t, e := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if e != nil && s.config.checksFencing {
		writeError(w, http.StatusBadRequest, "fencing-token-missing", "Fencing-Token is not an integer")
		return
	}
	order.Token = t
	n := 0
	s.runTask(func(t *scheduler, _ time.Time) { n = t.orders.apply(order) })
	switch n {
	case http.StatusOK:
		writeJSON(w, n, order)
	case http.StatusConflict:
		writeError(w, n, "fencing-token-stale", "a higher fencing token was seen")
	default:
		writeError(w, n, "invalid-order", "order is unknown or lacks its argument")
	}
}

func (s *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	o := ordersForm{}
	s.runTask(func(t *scheduler, _ time.Time) {
		o = ordersForm{
			Model: t.orders.model, Version: t.orders.version, Role: t.orders.role,
			Adapters: slices.Concat([]string{}, t.orders.adapters), Applied: slices.Concat([]orderForm{}, t.orders.applied),
		}
	})
	writeJSON(w, http.StatusOK, o)
}
