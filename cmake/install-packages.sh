#!/usr/bin/env bash
# Installs what packages.txt lists, when anything of it is missing.
set -eu
cd "$(dirname "$0")/.."
mapfile -t packages < <(grep -vE '^\s*(#|$)' packages.txt)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
