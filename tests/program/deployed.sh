#!/bin/sh
# Checks that the deployed program starts by exec and that it loads all libraries, except those that every machine
# has, from the folder lib next to the program. First argument: path of the program; second: path of the deploy file.
set -eu
library_folder=$(dirname "$1")/lib
grep -q '^run = "exec ' "$2" || { echo "the run command of $2 does not start the program by exec"; exit 1; }
ldd "$1" | grep -q '/libc\.so\.6 ' || { echo "the C library is not linked at run time"; exit 1; }
# The C library and the compiler's run-time libraries are present on every machine. The sanitizers' libraries are
# excluded because builds with sanitizers are never deployed.
others=$(ldd "$1" | grep -v -E '^\s*(linux-vdso|/lib64/ld-linux|/lib/ld-linux-aarch64|lib(c|m|dl|rt|pthread|resolv|gcc_s|stdc\+\+|asan|tsan|ubsan)\.so)')
[ -n "$others" ] || { echo "the list of libraries could not be read"; exit 1; }
if echo "$others" | grep -v -F " $library_folder/"; then echo "the libraries listed above are not in $library_folder"; exit 1; fi
