#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec review/stands/run-case short_read review/2
