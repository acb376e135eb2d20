#!/bin/sh
# Prepares what the scripts start, after the build of the deploy file. The
# stand-ins are Python without dependencies, so this only checks them.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps/medlar_platform || {
    echo "build the deploy file first: sh deploy/build" >&2
    exit 2
}
python3 -m compileall -q standins [1-5]
