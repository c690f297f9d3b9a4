#!/usr/bin/env bash
# First SIGHUP, then SIGTERM, each 30 ms after an instance that is starting has sent its first statement on.
here=$(cd "$(dirname "$0")" && pwd)
"$here/../run-case" "$here" StartSignal HUP 30
hup=$?
APPEND=1 "$here/../run-case" "$here" StartSignal TERM 30
term=$?
[ "$hup" -eq 2 ] || [ "$term" -eq 2 ] && exit 2
[ "$hup" -eq 0 ] && [ "$term" -eq 0 ]
