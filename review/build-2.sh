#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start, into the root's ignored `target`, so that nothing is
# built inside `review`. Run the build of deploy/balancer.toml first.
cd "$(dirname "$0")/standins-2" && exec cargo build --release --offline --locked --target-dir ../../target/review-2
