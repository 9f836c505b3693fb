# Copies the shared libraries that PROGRAM needs, and those that they need, into INTO.
# The last build's would be found beside the machine's, in conflict with them.
file(REMOVE_RECURSE ${INTO})
file(GET_RUNTIME_DEPENDENCIES EXECUTABLES ${PROGRAM} RESOLVED_DEPENDENCIES_VAR libraries
  PRE_EXCLUDE_REGEXES "^ld-linux" "^lib(c|m|dl|rt|pthread|resolv|gcc_s|stdc\\+\\+|asan|tsan|ubsan)\\.so")
file(COPY ${libraries} DESTINATION ${INTO} FOLLOW_SYMLINK_CHAIN)
