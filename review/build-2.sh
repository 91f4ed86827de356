#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start. Run the build of deploy/balancer.toml first.
cd "$(dirname "$0")/standins-2" && exec cargo build --release --offline --locked
