# Sourced: installs what the build and the tests need, from Debian's packages only.
CITRON_PACKAGES="g++ cmake ninja-build pkg-config clang-format clang-tidy clang libclang-rt-14-dev ccache curl jq \
libevent-dev libnng-dev libmsgpack-cxx-dev prometheus-cpp-dev nlohmann-json3-dev \
libcxxopts-dev libfmt-dev libboost-test-dev libtrompeloeil-cpp-dev libssl-dev libxxhash-dev \
libpcg-cpp-dev libbenchmark-dev libcctz-dev tzdata libtomlplusplus-dev libhttp-parser-dev"

citron_install_packages() {
  local missing="" package
  for package in $CITRON_PACKAGES; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
      missing="$missing $package"
  done
  [ -z "$missing" ] && return 0
  local sudo=""
  [ "$(id -u)" = 0 ] || sudo=sudo
  $sudo apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y --no-install-recommends $missing
}
