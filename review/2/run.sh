#!/usr/bin/env bash
. "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" batch_after_restart
