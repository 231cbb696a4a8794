#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O1 -Wall -pthread review/standin/Main.cpp -o target/review/review-case
