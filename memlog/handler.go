package memlog

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"tanagershunt.example/shunt"
)

const (
	// maxWait limits the wait time of a read and thus the duration of its HTTP request.
	maxWait = time.Minute
	// maxAppendBytes limits the body of an append.
	maxAppendBytes = 4 << 20
)

type (
	// AppendRequest is the body of POST /v1/streams/{stream}.
	AppendRequest struct {
		Entries [][]byte `json:"entries"`
	}

	// AppendResponse is the response to an append.
	AppendResponse struct {
		Offset shunt.Offset `json:"offset"`
	}

	// ReadResponse is the response to GET /v1/streams/{stream}?from=&limit=&wait=.
	ReadResponse struct {
		Entries []shunt.Entry `json:"entries"`
		First   shunt.Offset  `json:"first"`
		Head    shunt.Offset  `json:"head"`
	}

	// ErrorResponse is the body of every error response.
	ErrorResponse struct {
		Error string       `json:"error"`
		First shunt.Offset `json:"first,omitempty"` // first retained offset, set with status 410
	}
)

// Handler serves a log over HTTP: appends, reads, and fault injection by POST /v1/faults with a Faults body.
func Handler(l *Log) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.POST("/v1/streams/:stream", l.handleAppend)
	r.GET("/v1/streams/:stream", l.handleRead)
	r.POST("/v1/faults", l.handleFaults)
	return r
}

func (l *Log) handleAppend(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxAppendBytes)
	var req AppendRequest
	var tooLarge *http.MaxBytesError
	if err := c.ShouldBindJSON(&req); errors.As(err, &tooLarge) {
		writeError(c, fmt.Errorf("%w: body above %d bytes", shunt.ErrRecordTooLarge, tooLarge.Limit))
		return
	} else if err != nil {
		c.JSON(http.StatusBadRequest, ErrorResponse{Error: err.Error()})
		return
	}
	offset, err := l.Append(c.Request.Context(), c.Param("stream"), req.Entries...)
	switch {
	case err == nil:
		c.JSON(http.StatusOK, AppendResponse{Offset: offset})
	case errors.Is(err, shunt.ErrAppendUnknown):
		// Closing the connection without a response simulates a lost response.
		panic(http.ErrAbortHandler)
	default:
		writeError(c, err)
	}
}

func (l *Log) handleRead(c *gin.Context) {
	from, err := strconv.ParseUint(c.DefaultQuery("from", "1"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, ErrorResponse{Error: "from: " + err.Error()})
		return
	}
	limit, err := strconv.Atoi(c.DefaultQuery("limit", "100"))
	if err != nil || limit <= 0 {
		c.JSON(http.StatusBadRequest, ErrorResponse{Error: "limit is not a positive number"})
		return
	}
	wait, err := time.ParseDuration(c.DefaultQuery("wait", "0s"))
	if err != nil {
		c.JSON(http.StatusBadRequest, ErrorResponse{Error: "wait: " + err.Error()})
		return
	}
	b, err := l.Read(c.Request.Context(), c.Param("stream"), shunt.Offset(from), limit, min(wait, maxWait))
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, ReadResponse(b))
}

func (l *Log) handleFaults(c *gin.Context) {
	var f Faults
	if err := c.ShouldBindJSON(&f); err != nil {
		c.JSON(http.StatusBadRequest, ErrorResponse{Error: err.Error()})
		return
	}
	l.SetFaults(f)
	c.Status(http.StatusNoContent)
}

func writeError(c *gin.Context, err error) {
	var truncated *shunt.TruncatedError
	switch {
	case errors.As(err, &truncated):
		c.JSON(http.StatusGone, ErrorResponse{Error: err.Error(), First: truncated.First})
	case errors.Is(err, shunt.ErrLogRateLimited):
		c.JSON(http.StatusTooManyRequests, ErrorResponse{Error: err.Error()})
	case errors.Is(err, shunt.ErrRecordTooLarge):
		c.JSON(http.StatusRequestEntityTooLarge, ErrorResponse{Error: err.Error()})
	default:
		c.JSON(http.StatusServiceUnavailable, ErrorResponse{Error: err.Error()})
	}
}
