#!/bin/sh
# Installs the Debian packages needed to build and test the project.
set -eu
PACKAGES="g++ cmake ninja-build make pkg-config ccache git curl
  clang-format clang-tidy clang libclang-rt-14-dev
  libcoap3-dev libcoap3-bin libpistache-dev libzmq3-dev cppzmq-dev
  libprotobuf-dev libboost-dev libboost-program-options-dev
  libyaml-cpp-dev libgoogle-glog-dev libexpected-dev libmsgsl-dev
  libcppunit-dev libxxhash-dev libsodium-dev nlohmann-json3-dev
  librapidcheck-dev spin gnuplot-nox python3 python3-yaml"
missing=""
for package in $PACKAGES; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "ok installed"; then
    missing="$missing $package"
  fi
done
if [ -z "$missing" ]; then
  exit 0
fi
sudo=""
if [ "$(id -u)" -ne 0 ]; then
  sudo="sudo"
fi
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing > /dev/null
