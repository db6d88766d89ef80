#!/usr/bin/env bash
# Proof of the proofs: each deliberate defect of list.txt must make the fuzzer
# report the promise that it breaks. Arguments: the build folder.
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
work=$build/mutations
rm -rf "$work"
mkdir -p "$work"

# Compiles the fuzzer with one file changed; the changed object goes before
# the libraries, so that it stands in for theirs.
try_mutation() { # NAME PROMISE FILE SED
  local name=$1 promise=$2 file=$3 edit=$4
  local folder=$work/$name
  mkdir -p "$folder/tree"
  cp -r Libraries Tests "$folder/tree/"
  sed -i "$edit" "$folder/tree/$file"
  if cmp -s "$file" "$folder/tree/$file"; then
    echo "$name: FAILED, the edit changed nothing"
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
    echo "$name: FAILED, it does not compile; see $folder/compile"
    return 1
  fi
  # NOTE: Without shrinking, which may lead from one promise to another.
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
  echo "$name: FAILED, not caught; see $folder/out"
  return 1
}
export -f try_mutation
export build work

grep -v '^#' Tests/Mutations/list.txt | tr '\n' '\0' |
  xargs -0 -P 4 -I{} bash -c 'IFS="|" read -r n p f s <<<"$1"; try_mutation "$n" "$p" "$f" "$s"' _ {} |
  tee "$work/summary"
caught=$(grep -c ': caught' "$work/summary")
wanted=$(grep -vc '^#' Tests/Mutations/list.txt)
echo "$caught of $wanted mutations caught"
[ "$caught" = "$wanted" ]
