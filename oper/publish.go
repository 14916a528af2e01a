package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/opapi"
)

func (c *command) publishSubcommands() []subcommand {
	var path, id, deleteKeys string
	validate := newSubcommand("validate", "check a complete set of objects offline", func(context.Context) int {
		return c.validate(path)
	})
	validate.sub.AddPositionalValue(&path, "path", 1, true, "file or folder of objects")

	publish := newSubcommand(
		"publish",
		"publish the objects that differ from those in force",
		func(ctx context.Context) int {
			return c.publish(ctx, path, id, deleteKeys)
		},
	)
	publish.sub.AddPositionalValue(&path, "path", 1, false, "file or folder of objects")
	publish.sub.String(
		&id,
		"i",
		"id",
		"identifier of the publish; after an unknown result repeat it with the same objects",
	)
	publish.sub.String(&deleteKeys, "d", "delete", "comma-separated keys to delete, such as route/browse,move/m1")
	publish.sub.Bool(&c.wait, "w", "wait", "wait until the change is in force everywhere")

	diff := newSubcommand(
		"diff",
		"show what a publish would change; absent objects stay as they are",
		func(ctx context.Context) int {
			return c.diff(ctx, path)
		},
	)
	diff.sub.AddPositionalValue(&path, "path", 1, true, "file or folder of objects")
	return []subcommand{validate, publish, diff}
}

func (c *command) validate(path string) int {
	set, code := c.load(path)
	if code != exitOK {
		return code
	}
	problems := conf.Validate(set, conf.ValidationState{At: time.Now()})
	if len(problems) > 0 {
		return c.printPublish(opapi.PublishResponse{Result: opapi.ResultRejected, Problems: problems})
	}
	fmt.Fprintf(c.out, "valid: %d objects\n", set.Len())
	return exitOK
}

func (c *command) publish(ctx context.Context, path, id, deleteKeys string) int {
	request := opapi.PublishRequest{ID: id, Again: id != "", Operator: operatorName(), Base: map[string]shunt.Offset{}}
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	var set conf.Set
	if path != "" {
		var code int
		if set, code = c.load(path); code != exitOK {
			return code
		}
	}
	current, err := c.client.Objects(ctx)
	if err != nil {
		return c.printPublish(opapi.PublishResponse{
			Result: opapi.ResultNotPublished, ID: request.ID, Reason: err.Error(),
		})
	}
	currentByKey := make(map[string]opapi.VersionedObject, len(current.Objects))
	for _, o := range current.Objects {
		currentByKey[o.Object.Key().String()] = o
	}
	for o := range set.All() {
		key := o.Key().String()
		if old, ok := currentByKey[key]; ok && old.Object.Equal(o) {
			continue
		}
		request.Set = append(request.Set, o)
		request.Base[key] = currentByKey[key].Version
	}
	for key := range strings.SplitSeq(deleteKeys, ",") {
		if key = strings.TrimSpace(key); key != "" {
			request.Delete = append(request.Delete, key)
			request.Base[key] = currentByKey[key].Version
		}
	}
	if len(request.Set)+len(request.Delete) == 0 && id == "" {
		fmt.Fprintf(c.out, "nothing to publish: unchanged since %d\n", current.Offset)
		return exitOK
	}
	return c.sendPublish(ctx, request)
}

// sendPublish publishes, prints the result and, with --wait, waits until the change is in force on all nodes.
func (c *command) sendPublish(ctx context.Context, request opapi.PublishRequest) int {
	response, err := c.client.Publish(ctx, request)
	if err != nil {
		response = opapi.PublishResponse{ID: request.ID, Reason: err.Error(), Result: opapi.ResultUnknown}
		if opapi.NotSent(err) {
			response.Result = opapi.ResultNotPublished
		}
	}
	code := c.printPublish(response)
	if code != exitOK || !c.wait {
		return code
	}
	return c.waitInForce(ctx, response.Offset)
}

func (c *command) diff(ctx context.Context, path string) int {
	set, code := c.load(path)
	if code != exitOK {
		return code
	}
	current, err := c.client.Objects(ctx)
	if err != nil {
		return c.fail(err)
	}
	var old conf.Set
	for _, o := range current.Objects {
		old = old.With(o.Object)
	}
	change := conf.Diff(old, set)
	if c.json {
		return c.printJSON(change)
	}
	for _, o := range change.Added {
		fmt.Fprintf(c.out, "add    %s\n", o.Key())
	}
	for _, o := range change.Changed {
		fmt.Fprintf(c.out, "change %s\n", o.Key())
	}
	for _, key := range change.Deleted {
		fmt.Fprintf(c.out, "absent %s\n", key)
	}
	return exitOK
}

// load reads a file or folder of objects. Problems of individual objects are printed as a rejected publish.
func (c *command) load(path string) (conf.Set, int) {
	info, err := os.Stat(path)
	if err != nil {
		return conf.Set{}, c.failUsage(err)
	}
	var set conf.Set
	var problems []conf.Problem
	if info.IsDir() {
		set, problems, err = conf.Load(os.DirFS(path))
	} else {
		set, problems, err = loadFile(path)
	}
	if err != nil {
		return conf.Set{}, c.failUsage(err)
	}
	if len(problems) > 0 {
		return conf.Set{}, c.printPublish(opapi.PublishResponse{Result: opapi.ResultRejected, Problems: problems})
	}
	return set, exitOK
}

func loadFile(path string) (conf.Set, []conf.Problem, error) {
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		return conf.Set{}, nil, err
	}
	defer f.Close()
	var l conf.Loader
	if err := l.Read(path, f); err != nil {
		return conf.Set{}, nil, err
	}
	set, problems := l.Result()
	return set, problems, nil
}

func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}
