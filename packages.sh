#!/bin/sh
# Installs the Debian packages of packages.txt that are not installed yet.
set -eu
cd "$(dirname "$0")"
missing=""
while read -r package; do
  [ -n "$package" ] || continue
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
done < packages.txt
[ -n "$missing" ] || exit 0
echo "installing:$missing"
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing
