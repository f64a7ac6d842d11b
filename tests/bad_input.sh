# Sends malformed input to the simulator adapter and prints its error message and exit status.
u32() { printf "\\x$(printf %02x $(($1 & 255)))\\x$(printf %02x $(($1 >> 8 & 255)))\\x00\\x00"; }
frame() { u32 "$1"; u32 "$2"; printf '\0\0\0\0\0\0\0\0'; }  # count and length, clock 0
create() { frame 1 $((17 + ${#1})); printf '\4'; u32 1; printf '\0\0\0\0\0\0\0\0'; u32 ${#1}; printf '%s' "$1"; }
feed() {
  echo "-- $1"
  "${@:2}" | "$adapter" 2>&1 >/dev/null
  echo "exit ${PIPESTATUS[1]}"
}
adapter=$1
rules='"rules":{"fall-multiple":8}'
routes='"request-classes":[{"target":1000,"give-up":2000}]'
feed "a truncated frame" printf '\1\0\0'
feed "a frame that is shorter than its length" frame 0 4
trailing() { frame 0 4; printf '\0\0\0\0'; }
feed "bytes after the last record" trailing
feed "an unknown event code" eval 'frame 1 1; printf "\\77"'
feed "settings that are not JSON" create '{'
feed "settings without cores" create "{$rules,$routes,\"family-info\":{\"memory-kb\":1}}"
feed "a route without a timeout" create "{$rules,\"request-classes\":[{\"target\":1}],\"family-info\":{\"cores\":2,\"memory-kb\":1}}"
feed "a dependency without a share of it" create "{$rules,$routes,\"family-info\":{\"cores\":2,\"memory-kb\":1,\"below\":\"shared\"}}"
feed "no servers, no callers, a share of 0: valid" create "{$rules,$routes,\"servers\":0,\"family-info\":{\"cores\":2,\"memory-kb\":1,\"callers\":0,\"below\":\"shared\",\"dep-share\":0,\"calls-over\":5000}}"
