#!/bin/sh
# Installs the Debian packages that the build and the tests need.
# Does nothing when all of them are present.
set -eu
here=$(dirname "$0")
packages=$(tr '\n' ' ' <"$here/packages.txt")
# shellcheck disable=SC2086
if dpkg -s $packages >/dev/null 2>&1; then
	exit 0
fi
if [ "$(id -u)" -ne 0 ]; then
	echo "install-deps: run as root: apt-get install -y $packages" >&2
	exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq $packages >/dev/null
