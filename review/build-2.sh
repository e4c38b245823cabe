#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, after the build of deploy/system.toml, whose
# libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
pids=()
for it in review/standins-2/*.cpp; do
  g++ -std=c++17 -O1 -Wall -Wextra -Isrc/include -Isrc/libsavoryhttp -Isrc/libsavoryobserve -Iplatform \
    -Isrc/libsavorysteer -Isrc/libsavorylb -I/usr/include/jsoncpp \
    -c "$it" -o "$out/$(basename "$it" .cpp).o" &
  pids+=($!)
done
for it in "${pids[@]}"; do wait "$it"; done
g++ "$out"/*.o target/platform/libsavoryplatform.a target/src/libsavorysteer/libsavorysteer.a \
  target/src/libsavoryhttp/libsavoryhttp.a target/src/libsavoryobserve/libsavoryobserve.a \
  target/src/libsavorylb/libsavorylb.a -ljsoncpp -lPocoNet -lPocoFoundation -lpthread -o "$out/review-fleet"
