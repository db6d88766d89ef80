#!/usr/bin/env bash
# Checks the format of the C++ sources and runs the linter on them, in parallel,
# but not on generated files. Doesn't lint a file again that was clean before if
# neither it nor any header nor .clang-tidy has changed: build/lint holds a
# stamp for it. Needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."

# Lists the files that match the patterns, without the generated ones.
own_files() { git ls-files -co --exclude-standard "$@" | grep -v '\.capnp\.' ; }

unformatted=$(own_files '*.cc' '*.h' | xargs clang-format --dry-run -Werror 2>&1 |
  grep -c 'error:' || true)
if [ "$unformatted" != 0 ]; then
  echo "formatter: $unformatted places differ; run Meta/format.sh" >&2
  exit 1
fi
echo "formatter: clean"

mkdir -p build/lint
# A digest of all headers and the linter's settings.
headers=$(own_files '*.h' | sort | xargs cat .clang-tidy | sha256sum | cut -c1-16)
lint_one() { # FILE HEADERS
  local file=$1 stamp
  stamp=build/lint/$(cat "$file" | sha256sum | cut -c1-16)-$2
  [ -e "$stamp" ] && return 0
  if clang-tidy -p build --quiet "$file" >"$stamp.log" 2>/dev/null; then
    rm -f "$stamp.log"
    touch "$stamp"
  else
    cat "$stamp.log"
    rm -f "$stamp.log"
    return 1
  fi
}
export -f lint_one
own_files '*.cc' | xargs -P "$(nproc)" -I{} bash -c "lint_one {} $headers"
echo "linter: clean"
