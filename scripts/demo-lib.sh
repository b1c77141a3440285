# Functions shared by the demos. The demo that sources this file sets BIN and DIR.

declare -a PIDS=() INSTANCE_PIDS=()

cleanup() {
	[ ${#PIDS[@]} -eq 0 ] || kill -KILL "${PIDS[@]}" 2>/dev/null || true
	[ ${#INSTANCE_PIDS[@]} -eq 0 ] || kill -KILL "${INSTANCE_PIDS[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
}
trap cleanup EXIT

fail() {
	echo "demo failed: $*; logs are in $DIR" >&2
	exit 1
}

step() { printf '\n== %s\n' "$*"; }

start() { # name command...
	local name=$1
	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	STARTED=$!
}

build() {
	step "build"
	go build -o "$BIN/" ./cmd/...
	rm -rf "$DIR" && mkdir -p "$DIR"
}
