# Prints what the adapter says to input that the wire does not allow, and its exit status.
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
types='"request-classes":[{"target":1000,"give-up":2000}]'
feed "a frame cut short" printf '\1\0\0'
feed "a frame longer than its records" frame 0 4
long() { frame 0 4; printf '\0\0\0\0'; }
feed "bytes beyond the records" long
feed "an unknown event" eval 'frame 1 1; printf "\\77"'
feed "settings that are no JSON" create '{'
feed "no cores" create "{$rules,$types,\"family-info\":{\"memory-kb\":1}}"
feed "no op timeout" create "{$rules,\"request-classes\":[{\"target\":1}],\"family-info\":{\"cores\":2,\"memory-kb\":1}}"
feed "a layer below but no share of it" create "{$rules,$types,\"family-info\":{\"cores\":2,\"memory-kb\":1,\"below\":\"shared\"}}"
feed "no servers, no callers, no share: allowed" create "{$rules,$types,\"servers\":0,\"family-info\":{\"cores\":2,\"memory-kb\":1,\"callers\":0,\"below\":\"shared\",\"dep-share\":0,\"calls-over\":5000}}"
