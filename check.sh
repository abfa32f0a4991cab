#!/usr/bin/env bash
# Checks the whole project: names, format, lints, tests, demo. CI runs just this.
#   ./check.sh          everything
#   ./check.sh tests    only the tests
# Tests named in KNOWN-RED.txt may fail; they are run and printed, any other failure fails the check.
set -u -o pipefail
cd "$(dirname "$0")"

known_red() {
  [ -f KNOWN-RED.txt ] && grep -v -e '^#' -e '^$' KNOWN-RED.txt | cut -d, -f1
}

tests() {
  local log status failed unexpected
  log=$(mktemp)
  cargo test --workspace --locked --no-fail-fast 2>&1 | tee "$log"
  status=$?
  failed=$(grep -E '^test .* \.\.\. FAILED$' "$log" | sed -E 's/^test (.*) \.\.\. FAILED$/\1/' | sort -u)
  rm -f "$log"
  if [ "$status" -eq 0 ]; then
    return 0
  fi
  # A failure without a failed test (a build error, a crash) is never excused.
  [ -n "$failed" ] || return 1
  unexpected=$(comm -23 <(printf '%s\n' "$failed") <(known_red | sort -u))
  if [ -n "$unexpected" ]; then
    printf 'FAILED: %s\n' $unexpected
    return 1
  fi
  printf 'KNOWN RED (listed in KNOWN-RED.txt): %s\n' $failed
}

# The names of the users' platform are used in platform/ and in the fakes alone.
names() {
  local pattern found
  # Names that the own interface has as well (x-deadline-ms, /v1/lots) are left out.
  pattern='x-response-stamp|x-expect-instance|x-not-executed|x-weight-versions|x-server-load|x-wait-ms|x-length-hint'
  pattern+='|currentrev|staleok|waitms|pathprefix|fencetoken|coldremainingms|desiredcount|minversion'
  pattern+='|x-tenant|x-lease-holder|x-fence-token|apikeys|zoneprices|spotprice|"/scale"|"/usage"'
  pattern+='|/v1/readiness|/v1/objects|/v1/order"|/v1/report|/v1/items'
  found=$(git ls-files 'crates/*/src/*.rs' | grep -v '^crates/pinereel_fakes/' | xargs grep -sniE "$pattern")
  if [ -n "$found" ]; then
    printf 'FAILED: names of the platform outside platform/:\n%s\n' "$found"
    return 1
  fi
}

lints() {
  cargo fmt --all --check && cargo clippy --workspace --all-targets --locked -- -D warnings
}

demo() {
  cargo run --locked --quiet --bin pinereel-fakes -- demo
}

case "${1:-all}" in
  tests) tests ;;
  lints) lints ;;
  names) names ;;
  demo) demo ;;
  all) names && lints && tests && demo ;;
  *) echo "usage: $0 [all|names|lints|tests|demo]" >&2; exit 2 ;;
esac
