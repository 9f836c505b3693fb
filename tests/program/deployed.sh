#!/bin/sh
# The first argument: the program; the second: the deploy file.
set -eu
beside=$(dirname "$1")/lib
grep -q '^run = "exec ' "$2" || { echo "run does not end by exec"; exit 1; }
ldd "$1" | grep -q '/libc\.so\.6 ' || { echo "the C library is not linked at run time"; exit 1; }
# The C library and the compiler's own are any machine's; sanitizers are never deployed.
others=$(ldd "$1" | grep -v -E '^\s*(linux-vdso|/lib64/ld-linux|lib(c|m|dl|rt|pthread|resolv|gcc_s|stdc\+\+|asan|tsan|ubsan)\.so)')
[ -n "$others" ] || { echo "the list of libraries could not be read"; exit 1; }
if echo "$others" | grep -v -F " $beside/"; then echo "these are not beside the program"; exit 1; fi
