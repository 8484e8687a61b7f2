#!/usr/bin/env bash
# Regenerates the C++ code of the IDL. Needs the package thrift-compiler.
set -euo pipefail
cd "$(dirname "$0")"

readonly headers=generated/include/peer_link/generated
output="$(mktemp -d)"
trap 'rm -r "$output"' EXIT

thrift --gen cpp:moveable_types,no_skeleton \
    -out "$output" idl/masticshift.thrift
mkdir -p "$headers" src/generated
cp "$output"/masticshift_types.h "$headers"/
cp "$output"/masticshift_types.cpp src/generated/
