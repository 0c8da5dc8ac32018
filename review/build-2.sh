#!/usr/bin/env bash
# Compiles what the cases 6 to 10 start besides the build of the deploy file: the project's
# stand-ins and the rig. They need no library beyond those in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of the deploy file first" >&2; exit 2; }
export PYTHONPATH=target/deps:.
python3 -c "import standins.platform_store, standins.platform_backend, standins.launcher"
python3 -c "import review.rig2.caller, review.rig2.deployment, review.rig2.endless_backend"
python3 -c "import review.rig2.links, review.rig2.order_engine"
