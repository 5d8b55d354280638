package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Orders under /orders/, each with the field of its body that it needs.
const (
	orderLoadModel   = "load-model"
	orderLoadAdapter = "load-adapter"
	orderSetVersion  = "set-version"
	orderSetRole     = "set-role"
)

// orders is what the engine was told to be.
type orders struct {
	model    string
	adapters []string
	version  string
	role     string
	// Whether tokens are checked, and the highest one seen.
	checked bool
	highest int64
	// Every order that took effect.
	applied []orderForm
}

// orderForm is the body of an order and an entry of GET /control/orders.
type orderForm struct {
	Order   string `json:"order,omitempty"`
	Token   int64  `json:"fencing-token,omitempty"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// adapterForm is the body of POST /v1/load_lora_adapter, in the engines' own
// case.
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

// serves reports whether requests may name the model.
func (s *orders) serves(model string) bool {
	return model == s.model || slices.Contains(s.adapters, model)
}

// apply does one order and returns its HTTP status: 409 for a token that is
// checked and lower than one before.
func (s *orders) apply(f orderForm) int {
	if s.checked && f.Token < s.highest {
		return http.StatusConflict
	}
	switch {
	case f.Order == orderLoadModel && f.Model != "":
		s.model = f.Model
	case f.Order == orderLoadAdapter && f.Adapter != "":
		if !slices.Contains(s.adapters, f.Adapter) {
			s.adapters = append(s.adapters, f.Adapter)
		}
	case f.Order == orderSetVersion && f.Version != "":
		s.version = f.Version
	case f.Order == orderSetRole && f.Role != "":
		s.role = f.Role
	default:
		return http.StatusBadRequest
	}
	s.highest = max(s.highest, f.Token)
	s.applied = append(s.applied, f)
	return http.StatusOK
}

func (s *Engine) loadAdapter(w http.ResponseWriter, r *http.Request) {
	f := adapterForm{}
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f)
	if e != nil {
		refuse(w, http.StatusBadRequest, "invalid_request", e.Error())
		return
	}
	s.applyOrder(w, r, orderForm{Order: orderLoadAdapter, Adapter: f.Name})
}

func (s *Engine) order(w http.ResponseWriter, r *http.Request) {
	f := orderForm{}
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f)
	if e != nil {
		refuse(w, http.StatusBadRequest, "invalid_request", e.Error())
		return
	}
	f.Order = r.PathValue("order")
	s.applyOrder(w, r, f)
}

func (s *Engine) applyOrder(w http.ResponseWriter, r *http.Request, f orderForm) {
	t, e := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if e != nil && s.s.checksFencing {
		refuse(w, http.StatusBadRequest, "fencing-token-missing", "Fencing-Token is not an integer")
		return
	}
	f.Token = t
	n := 0
	s.do(func(t *table, _ time.Time) { n = t.orders.apply(f) })
	switch n {
	case http.StatusOK:
		answer(w, n, f)
	case http.StatusConflict:
		refuse(w, n, "fencing-token-stale", "a higher fencing token was seen")
	default:
		refuse(w, n, "invalid-order", "order is unknown or lacks its argument")
	}
}

func (s *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	o := ordersForm{}
	s.do(func(t *table, _ time.Time) {
		o = ordersForm{
			Model: t.orders.model, Version: t.orders.version, Role: t.orders.role,
			Adapters: slices.Concat([]string{}, t.orders.adapters), Applied: slices.Concat([]orderForm{}, t.orders.applied),
		}
	})
	answer(w, http.StatusOK, o)
}
