package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/gin-gonic/gin"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// Handler returns the HTTP interface for the backend server:
//
//	POST /v1/announce  an Announcement; 200 with the record, 400, 409 when leaving, 413
//	POST /v1/leave     no body; 200 with the record
//	GET  /v1/server    200 with the record
func (s *Tracker) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.Recovery())
	e.POST("/v1/announce", s.handleAnnounce)
	e.POST("/v1/leave", s.handleLeave)
	e.GET("/v1/server", s.showRecord)
	return e
}

func (s *Tracker) handleAnnounce(c *gin.Context) {
	a, err := decodeAnnouncement(http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnouncementBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		respondError(c, http.StatusRequestEntityTooLarge, fmt.Errorf("announcement exceeds %d bytes", large.Limit))
		return
	}
	if err != nil {
		respondError(c, http.StatusBadRequest, err)
		return
	}
	if err := s.Announce(a); err != nil {
		respondError(c, http.StatusConflict, err)
		return
	}
	s.showRecord(c)
}

func (s *Tracker) handleLeave(c *gin.Context) {
	s.MarkLeaving()
	s.showRecord(c)
}

func (s *Tracker) showRecord(c *gin.Context) {
	c.JSON(http.StatusOK, s.Current())
}

// decodeAnnouncement reads exactly one announcement and rejects unknown fields.
func decodeAnnouncement(r io.Reader) (Announcement, error) {
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

func respondError(c *gin.Context, status int, err error) {
	c.JSON(status, gin.H{"error": err.Error()})
}
