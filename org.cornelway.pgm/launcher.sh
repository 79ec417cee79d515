#!/bin/sh
# Fewer allocation arenas: each thread would keep one of its own.
MALLOC_ARENA_MAX=2
export MALLOC_ARENA_MAX
exec java -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss256k -Xmx"${CORNELWAY_HEAP_MIB:-48}"m -XX:MaxDirectMemorySize=24m -XX:ReservedCodeCacheSize=32m -jar "$0" "$@"
exit 127
