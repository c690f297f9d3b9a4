# Functions that the launchers source to run the main class of a built module.
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
export YUCCAWIND_HOME=$home

# run_java MODULE MAIN-CLASS JVM-OPTIONS ARGUMENT...
run_java() {
  local module=$1 main=$2 options=$3
  shift 3
  local target=$home/$module/target
  if ! ls "$target/$module"-*.jar >/dev/null 2>&1 || [ ! -d "$target/lib" ]; then
    echo "$(basename "$0"): $module is not built; run: mvn -B -DskipTests package" >&2
    exit 1
  fi
  # shellcheck disable=SC2086
  exec java $options ${YUCCAWIND_JAVA_OPTIONS:-} -cp "$target/*:$target/lib/*" "$main" "$@"
}
