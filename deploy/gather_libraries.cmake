# Copies the shared libraries that PROGRAM depends on, directly or indirectly, into the folder INTO.
# INTO is emptied first: libraries of an earlier build would be found in addition to the system's and conflict with them.
file(REMOVE_RECURSE ${INTO})
file(GET_RUNTIME_DEPENDENCIES EXECUTABLES ${PROGRAM} RESOLVED_DEPENDENCIES_VAR libraries
  PRE_EXCLUDE_REGEXES "^ld-linux" "^lib(c|m|dl|rt|pthread|resolv|gcc_s|stdc\\+\\+|asan|tsan|ubsan)\\.so")
file(COPY ${libraries} DESTINATION ${INTO} FOLLOW_SYMLINK_CHAIN)
