#!/usr/bin/env bash
# Builds, checks and runs masticshift. `./build.sh help` lists the commands.
set -euo pipefail
cd "$(dirname "$0")"

readonly packages=(
    g++ cmake ninja-build pkg-config clang-format clang-tidy
    libboost1.81-dev libboost-json1.81-dev libthrift-dev libgflags-dev
    libeasyloggingpp-dev libtomlplusplus-dev doctest-dev librapidcheck-dev
    libxxhash-dev libssl-dev)

jobs="${MASTICSHIFT_JOBS:-$(nproc)}"

install_packages() {
    if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
        return
    fi
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y \
        --no-install-recommends "${packages[@]}"
}

configure() {
    cmake --preset "$1" >"out/$1-configure.log" 2>&1 ||
        { cat "out/$1-configure.log"; return 1; }
}

build() {
    mkdir -p out
    configure "$1"
    cmake --build "out/$1" --parallel "$jobs"
}

sources() {
    git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' |
        grep -v '/generated/'
}

# Names of the platform's protocol may be used only in the adapter (platform/),
# in stand-ins and in tests.
check_wire_names() {
    local names='run-start|run-stop|rows-|last_seen|until_ms|fencing_token'
    names+='|expected_rev|best_effort|ended_runs|cold_left_ms|X-Expect-Instance'
    local found
    found="$(sources | grep -vE '^platform/|/tests/|stand_?in' |
        xargs grep -lE "\"/?($names)" || true)"
    if [ -n "$found" ]; then
        echo "names of the platform's protocol outside platform/: $found" >&2
        return 1
    fi
}

lint() {
    check_wire_names
    sources | xargs clang-format --dry-run --Werror
    mkdir -p out
    configure lint
    sources | grep '\.cpp$' | grep -v '^cmake/' |
        xargs -P "$jobs" -n 1 clang-tidy --quiet -p out/lint
}

run_tests() {
    tools/known_red/run_tests.sh "out/$1"
}

usage() {
    cat <<'TEXT'
usage: ./build.sh COMMAND
  demo      build, then run three entries and six endpoints on loopback
  test      build, then run every test
  lint      check protocol names, format and clang-tidy
  asan      build and test with the address and undefined sanitizers
  faults    run the full fault matrix on real processes
  soak      run gateways under random faults with ninety seeds
  bench     run the load scenarios and write the report
  capacity  measure the slopes behind docs/CAPACITY.md
TEXT
}

main() {
    case "${1:-help}" in
    demo)
        install_packages
        build release
        tools/demo/run.sh out/release/bin ;;
    test)
        install_packages
        build release
        run_tests release ;;
    lint)
        install_packages
        lint ;;
    asan)
        install_packages
        build asan
        run_tests asan ;;
    faults)
        install_packages
        build release
        out/release/bin/fault_matrix --full ;;
    soak)
        install_packages
        build release
        out/release/bin/gateway_soak --seed 1000 --seeds 50
        out/release/bin/gateway_soak --links --seed 2000 --seeds 20
        out/release/bin/gateway_soak --abandoned --seed 3000 --seeds 20 ;;
    bench)
        install_packages
        build release
        tools/bench/run.sh out/release/bin ;;
    capacity)
        install_packages
        build release
        tools/capacity/run.sh out/release/bin ;;
    help | --help)
        usage ;;
    *)
        usage >&2
        return 2 ;;
    esac
}

main "$@"
