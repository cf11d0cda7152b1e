// Command protogen regenerates the committed Go code of the .proto files.
//
// Usage, from the repository root:
//
//	go -C tools run ./protogen <root> <file.proto>...
//
// Paths of the .proto files are relative to root. The plugins protoc-gen-go and
// protoc-gen-twirp are tools of this module, so no system package is needed.
package main

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	log.SetFlags(0)
	if len(os.Args) < 3 {
		log.Fatal("usage: protogen <root> <file.proto>...")
	}
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		log.Fatal(err)
	}
}

// run generates the code of each file separately, because protoc-gen-twirp accepts only
// files of one package.
func run(root string, files []string) error {
	for _, file := range files {
		request, err := compile(root, file)
		if err != nil {
			return err
		}
		for _, plugin := range []string{"protoc-gen-go", "protoc-gen-twirp"} {
			if err := generate(plugin, root, request); err != nil {
				return fmt.Errorf("%s of %s: %w", plugin, file, err)
			}
		}
	}
	return nil
}

// compile compiles a file and its imports into a request to a plugin.
func compile(root, file string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{root}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	linked, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return nil, fmt.Errorf("compile %s: %w", file, err)
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String("paths=source_relative"),
	}
	for _, file := range linked {
		request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(file))
	}
	return request, nil
}

// generate runs one plugin and writes the files that it returns below root.
func generate(plugin, root string, request *pluginpb.CodeGeneratorRequest) error {
	input, err := proto.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	command := exec.Command("go", "tool", plugin)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if response.Error != nil {
		return fmt.Errorf("generator reported: %s", response.GetError())
	}
	for _, file := range response.File {
		if err := os.WriteFile(filepath.Join(root, file.GetName()), []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
