package main

import (
	"context"
	"net/url"
)

func (c *command) reportSubcommand() subcommand {
	var service, from, to string
	format := "text"
	report := newSubcommand("report", "print the report on a service", func(ctx context.Context) int {
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
		return c.printRaw(ctx, "/v1/report?"+query.Encode())
	})
	report.sub.AddPositionalValue(&service, "service", 1, true, "name of the service")
	report.sub.String(&from, "", "from", "start of the period, RFC 3339")
	report.sub.String(&to, "", "to", "end of the period, RFC 3339")
	report.sub.String(&format, "f", "format", "text, json or svg")
	return report
}
