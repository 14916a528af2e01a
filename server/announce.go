package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/gin-gonic/gin"
)

// maxAnnouncement bounds the body of an announcement in bytes.
const maxAnnouncement = 16 << 10

// Handler returns the HTTP interface for the backend server:
//
//	POST /v1/announce  an Announcement; 200 with the record, 400, 409 when leaving, 413
//	POST /v1/leave     no body; 200 with the record
//	GET  /v1/server    200 with the record
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.Recovery())
	e.POST("/v1/announce", s.announce)
	e.POST("/v1/leave", s.leave)
	e.GET("/v1/server", s.show)
	return e
}

func (s *Server) announce(c *gin.Context) {
	a, err := decode(http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnouncement))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		fail(c, http.StatusRequestEntityTooLarge, fmt.Errorf("announcement exceeds %d bytes", large.Limit))
		return
	}
	if err != nil {
		fail(c, http.StatusBadRequest, err)
		return
	}
	if err := s.Announce(a); err != nil {
		fail(c, http.StatusConflict, err)
		return
	}
	s.show(c)
}

func (s *Server) leave(c *gin.Context) {
	s.Leave()
	s.show(c)
}

func (s *Server) show(c *gin.Context) {
	c.JSON(http.StatusOK, s.Current())
}

// decode reads exactly one announcement without unknown fields.
func decode(r io.Reader) (Announcement, error) {
	var a Announcement
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, fmt.Errorf("announcement: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return a, errors.New("announcement: data after the JSON object")
	}
	return a, a.Validate()
}

func fail(c *gin.Context, status int, err error) {
	c.JSON(status, gin.H{"error": err.Error()})
}
