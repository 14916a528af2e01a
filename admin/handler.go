// Package admin serves the operators' HTTP listener of a node.
package admin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/state"
)

const (
	// maxBodyBytes is the maximum size of a request body. It is above the log's record limit.
	maxBodyBytes = 8 << 20
	// inForceTimeout bounds the wait for other nodes when an operator queries where an offset is in force.
	inForceTimeout = 3 * time.Second
)

type (
	// Node provides the data that the operators' listener serves.
	Node interface {
		// State returns the configuration in force at the node.
		State() *state.State
		// WaitForOffset blocks until the node's configuration has reached an offset or ctx is done.
		WaitForOffset(ctx context.Context, offset shunt.Offset) error
		// InForce asks the other nodes whether an offset is in force and returns the counts and the missing nodes.
		InForce(ctx context.Context, offset shunt.Offset) (opapi.InForce, error)
		// Status returns the node's view of the fleet.
		Status() opapi.Status
		// Moves returns the moves in the node's configuration.
		Moves() []opapi.Move
		// History returns the newest records that the node has reduced.
		History() opapi.History
		// Dump returns the node's internal state in a form that can be encoded as JSON.
		Dump() any
		// WriteMetrics writes the node's metrics in the Prometheus text format.
		WriteMetrics(w io.Writer)
		// Report writes the report on a service in the given format: text, json or svg.
		Report(ctx context.Context, w http.ResponseWriter, service string, from, to time.Time, format string) error
		// CapacityProblems returns the problems of taking out the given failure domains together: one for each pair
		// of a service that would lose its last ready server and a listed failure domain with servers of that service.
		CapacityProblems(domains []string) []conf.Problem
	}

	handler struct {
		node      Node
		publisher *Publisher
	}
)

// Handler returns the operators' HTTP interface of a node.
func Handler(node Node, publisher *Publisher) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &handler{node: node, publisher: publisher}
	r := gin.New()
	r.Use(limitBody)
	v1 := r.Group("/v1")
	v1.POST("/publish", h.publish)
	v1.POST("/validate", h.validate)
	v1.GET("/outcome/:id", h.outcome)
	v1.GET("/objects", h.objects)
	v1.GET("/inforce/:offset", h.inForce)
	v1.GET("/moves", func(c *gin.Context) { c.JSON(http.StatusOK, opapi.Moves{Moves: node.Moves()}) })
	v1.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, node.Status()) })
	v1.GET("/history", func(c *gin.Context) { c.JSON(http.StatusOK, node.History()) })
	v1.GET("/dump", func(c *gin.Context) { c.IndentedJSON(http.StatusOK, node.Dump()) })
	v1.GET("/report", h.report)
	r.GET("/metrics", func(c *gin.Context) { node.WriteMetrics(c.Writer) })
	return r
}

func limitBody(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
}

func (h *handler) publish(c *gin.Context) {
	var req opapi.PublishRequest
	if !bindJSON(c, &req) {
		return
	}
	c.JSON(http.StatusOK, h.publisher.Publish(c.Request.Context(), req))
}

func (h *handler) validate(c *gin.Context) {
	var req opapi.PublishRequest
	if !bindJSON(c, &req) {
		return
	}
	c.JSON(http.StatusOK, h.publisher.Validate(req))
}

func (h *handler) outcome(c *gin.Context) {
	id := c.Param("id")
	o, ok := h.node.State().Outcome(id)
	if !ok {
		c.JSON(http.StatusOK, opapi.PublishResponse{
			Result: opapi.ResultUnknown,
			ID:     id,
			Reason: "no publish with this identifier up to offset " + formatOffset(h.node.State().Offset()),
		})
		return
	}
	c.JSON(http.StatusOK, toResponse(o))
}

func (h *handler) objects(c *gin.Context) {
	s := h.node.State()
	resp := opapi.Objects{Offset: s.Offset(), Objects: []opapi.VersionedObject{}}
	for _, kind := range []conf.Kind{
		conf.KindDomain, conf.KindService, conf.KindVersion, conf.KindRoute, conf.KindMove,
	} {
		for _, o := range s.Objects(kind) {
			resp.Objects = append(resp.Objects, opapi.VersionedObject{Version: s.Version(o.Key()), Object: o})
		}
	}
	c.JSON(http.StatusOK, resp)
}

func (h *handler) inForce(c *gin.Context) {
	offset, err := strconv.ParseUint(c.Param("offset"), 10, 64)
	if err != nil {
		c.JSON(
			http.StatusBadRequest,
			opapi.Error{Error: "offset " + strconv.Quote(c.Param("offset")) + " is not a number"},
		)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), inForceTimeout)
	defer cancel()
	resp, err := h.node.InForce(ctx, shunt.Offset(offset))
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, opapi.Error{Error: err.Error()})
		return
	}
	c.JSON(http.StatusOK, resp)
}

func (h *handler) report(c *gin.Context) {
	from, ok := queryTime(c, "from", time.Time{})
	if !ok {
		return
	}
	to, ok := queryTime(c, "to", time.Now())
	if !ok {
		return
	}
	service := c.Query("service")
	if _, _, exists := h.node.State().Object(conf.Key{Kind: conf.KindService, Name: service}); !exists {
		c.JSON(http.StatusNotFound, opapi.Error{Error: "service " + strconv.Quote(service) + " does not exist"})
		return
	}
	format := c.DefaultQuery("format", "text")
	if err := h.node.Report(c.Request.Context(), c.Writer, service, from, to, format); err != nil {
		c.JSON(http.StatusBadRequest, opapi.Error{Error: err.Error()})
	}
}

func queryTime(c *gin.Context, name string, fallback time.Time) (time.Time, bool) {
	text := c.Query(name)
	if text == "" {
		return fallback, true
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		c.JSON(http.StatusBadRequest, opapi.Error{Error: name + " " + strconv.Quote(text) + " is not an RFC 3339 time"})
		return time.Time{}, false
	}
	return t, true
}

func bindJSON(c *gin.Context, target any) bool {
	if err := c.ShouldBindJSON(target); err != nil {
		c.JSON(http.StatusBadRequest, opapi.Error{Error: err.Error()})
		return false
	}
	return true
}

func formatOffset(o shunt.Offset) string { return strconv.FormatUint(uint64(o), 10) }
