# Functions that write the settings of a local system, for scripts to source.
# Usage: write_local_settings FOLDER BASE_PORT

ENGINES=3
ENTRIES=2

port_of() {  # NAME -> port
  local base="$LOCAL_BASE_PORT"
  case "$1" in
    entry-*) echo $((base + ${1#entry-})) ;;
    listener-*) echo $((base + 10 + ${1#listener-})) ;;
    console) echo $((base + 20)) ;;
    log-1) echo $((base + 21)) ;;
    list-1) echo $((base + 22)) ;;
    weights-1) echo $((base + 23)) ;;
    engine-*) echo $((base + 30 + ${1#engine-})) ;;
    service-*) echo $((base + 40 + ${1#service-})) ;;
    sidecar-e*) echo $((base + 50 + ${1#sidecar-e})) ;;
    sidecar-s*) echo $((base + 60 + ${1#sidecar-s})) ;;
    link-e*) echo $((base + 70 + ${1#link-e})) ;;
    link-s*) echo $((base + 80 + ${1#link-s})) ;;
  esac
}

url_of() {
  echo "http://127.0.0.1:$(port_of "$1")"
}

zone_of() {  # NUMBER -> availability zone
  local zones=(a b c)
  echo "zone-${zones[$((($1 - 1) % 3))]}"
}

write_sidecar() {  # FOLDER NAME LINK GROUP KIND UPSTREAM ZONE
  cat >"$1/$2.json" <<EOF
{
  "instance": "$2",
  "availability_zone": "$7",
  "group": "$4",
  "kind": "$5",
  "upstream_url": "$(url_of "$6")",
  "link": {"address": "127.0.0.1", "port": $(port_of "$3")},
  "http": {"address": "127.0.0.1", "port": $(port_of "$2")},
  "log_url": "$(url_of log-1)"
}
EOF
}

sidecar_member() {  # NAME LINK GROUP ZONE
  printf '{"id": "%s", "group": "%s", "availability_zone": "%s", ' \
    "$1" "$3" "$4"
  printf '"address": "127.0.0.1", "port": %s}' "$(port_of "$2")"
}

sidecar_members() {
  local i
  for i in $(seq "$ENGINES"); do
    sidecar_member "sidecar-e$i" "link-e$i" keywording "$(zone_of "$i")"
    echo ","
  done
  sidecar_member sidecar-s1 link-s1 agency zone-a
}

write_entry() {  # FOLDER NUMBER
  cat >"$1/entry-$2.json" <<EOF
{
  "instance": "entry-$2",
  "availability_zone": "$(zone_of "$2")",
  "public": {"address": "127.0.0.1", "port": $(port_of "entry-$2")},
  // The internal HTTP listener, to which callers' connections are relayed.
  "listener": {"address": "127.0.0.1", "port": $(port_of "listener-$2")},
  "log_url": "$(url_of log-1)",
  "sidecars": [
$(sidecar_members)
  ]
}
EOF
}

write_local_settings() {
  local folder="$1" i
  LOCAL_BASE_PORT="$2"
  mkdir -p "$folder"
  echo "{\"port\": $(port_of log-1)}" >"$folder/log-1.json"
  echo "{\"port\": $(port_of list-1)}" >"$folder/list-1.json"
  echo "{\"port\": $(port_of weights-1)}" >"$folder/weights-1.json"
  echo "{\"port\": $(port_of service-1), \"delay_ms\": 50}" \
    >"$folder/service-1.json"
  for i in $(seq "$ENGINES"); do
    echo "{\"port\": $(port_of "engine-$i"), \"models\": [\"keywords-8b\"]," \
      "\"weight_store_url\": \"$(url_of weights-1)\"}" \
      >"$folder/engine-$i.json"
    write_sidecar "$folder" "sidecar-e$i" "link-e$i" keywording engine \
      "engine-$i" "$(zone_of "$i")"
  done
  write_sidecar "$folder" sidecar-s1 link-s1 agency service service-1 zone-a
  for i in $(seq "$ENTRIES"); do
    write_entry "$folder" "$i"
  done
  cat >"$folder/console.json" <<EOF
{
  "address": "127.0.0.1",
  "port": $(port_of console),
  "log_url": "$(url_of log-1)"
}
EOF
}
