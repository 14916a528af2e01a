package main

import (
	"context"
	"net/url"
)

func (c *command) reportAction() action {
	var service, from, to string
	format := "text"
	a := newAction("report", "print the report on a service", func(ctx context.Context) int {
		if c.json {
			format = "json"
		}
		query := url.Values{"service": {service}, "format": {format}}
		if from != "" {
			query.Set("from", from)
		}
		if to != "" {
			query.Set("to", to)
		}
		return c.raw(ctx, "/v1/report?"+query.Encode())
	})
	a.sub.AddPositionalValue(&service, "service", 1, true, "name of the service")
	a.sub.String(&from, "", "from", "start of the period, RFC 3339")
	a.sub.String(&to, "", "to", "end of the period, RFC 3339")
	a.sub.String(&format, "f", "format", "text, json or svg")
	return a
}
