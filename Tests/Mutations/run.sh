#!/usr/bin/env bash
# Tests the fuzzer itself (promises_fuzz_test): each deliberate defect in
# list.txt must make it report the promise that the defect breaks.
# Argument: the build folder (default: build).
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
work_folder=$build/mutations
rm -rf "$work_folder"
mkdir -p "$work_folder"

# Applies one defect, builds the fuzzer with it and runs the fuzzer with up to
# 6 seeds. The changed object comes before the libraries on the command line,
# so that the linker takes it instead of theirs. If a header is changed,
# LibNode, the fakes and the oracle are compiled again.
try_mutation() { # NAME PROMISE FILE SED
  local name=$1 promise=$2 file=$3 sed_expression=$4
  local folder=$work_folder/$name
  mkdir -p "$folder/tree"
  cp -r Libraries Tests "$folder/tree/"
  sed -i "$sed_expression" "$folder/tree/$file"
  if cmp -s "$file" "$folder/tree/$file"; then
    echo "$name: FAILED, its sed expression changed nothing"
    return 1
  fi
  local sources=("$folder/tree/$file")
  if [[ $file == *.h ]]; then
    sources=("$folder"/tree/Libraries/LibNode/*.cc
             "$folder"/tree/Tests/Fakes/*.cc
             "$folder"/tree/Tests/LibNode/oracle.cc)
  fi
  if ! g++ -std=c++20 -O1 -DNDEBUG -DBOOST_LOG_DYN_LINK -I"$folder/tree/Libraries" \
      -I"$folder/tree/Tests" -o "$folder/fuzz" \
      "$build"/Tests/CMakeFiles/promises_fuzz_test.dir/LibNode/*.o \
      "${sources[@]}" -Wl,--start-group "$build"/Tests/lib*.a "$build"/lib*.a \
      -Wl,--end-group -lrapidcheck -lcapnp-rpc -lcapnp -lkj-async -lkj \
      -lboost_log -lboost_thread -lcrypto -lpthread >"$folder/compile" 2>&1; then
    echo "$name: FAILED, the fuzzer with it does not build; see $folder/compile"
    return 1
  fi
  # NOTE: Shrinking is off, since a shrunk sequence may break another promise
  # than the original one.
  local seed
  for seed in 1 2 3 4 5 6; do
    RC_PARAMS="seed=$seed max_success=300 max_size=60 noshrink=1" \
      timeout 300 "$folder/fuzz" >"$folder/out" 2>&1
    if grep -q "^promise $promise:" "$folder/out"; then
      echo "$name: caught as promise $promise with seed $seed"
      rm -rf "$folder/tree"
      return 0
    fi
  done
  echo "$name: FAILED, the fuzzer did not report promise $promise; see $folder/out"
  return 1
}
export -f try_mutation
export build work_folder

grep -v '^#' Tests/Mutations/list.txt | tr '\n' '\0' |
  xargs -0 -P 4 -I{} bash -c 'IFS="|" read -r n p f s <<<"$1"; try_mutation "$n" "$p" "$f" "$s"' _ {} |
  tee "$work_folder/summary"
caught=$(grep -c ': caught' "$work_folder/summary")
total=$(grep -vc '^#' Tests/Mutations/list.txt)
echo "$caught of $total mutations caught"
[ "$caught" = "$total" ]
