#!/bin/sh
# Builds the program that plays the scripted cases, with its stand-ins, into review/bin.
set -e
cd "$(dirname "$0")/standin"
go build -o ../bin/case .
