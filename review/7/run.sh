#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# HOW=lost plays the second story of claim.txt.
exec python3.11 "$(dirname "$0")/${HOW:-case}.py"
