# Fills in a settings template as DEPLOY.md describes it, as far as deploy/settings.toml needs it:
# values, the first entry of a list, and sections that begin and end on one line.
#
#   awk -f render_settings.awk FIELDS TEMPLATE
#
# FIELDS has lines of the form a.b=value, with lists joined by commas.
function value_of(name) {
  if (name ~ /\.0$/) {
    sub(/\.0$/, "", name)
    split(fields[name], entries, ",")
    return entries[1]
  }
  return fields[name]
}

function render_section(name, inner,    count, index_of_entry, entry, result) {
  count = split(fields[name], section_entries, ",")
  result = ""
  for (index_of_entry = 1; index_of_entry <= count; ++index_of_entry) {
    entry = inner
    gsub(/\{\{\.\}\}/, section_entries[index_of_entry], entry)
    gsub(/\{\{,\}\}/, index_of_entry < count ? "," : "", entry)
    result = result entry
  }
  return result
}

FNR == NR {
  fields[substr($0, 1, index($0, "=") - 1)] = substr($0, index($0, "=") + 1)
  next
}

{
  line = $0
  while (match(line, /\{\{#[a-z_.]+\}\}/)) {
    name = substr(line, RSTART + 3, RLENGTH - 5)
    before = substr(line, 1, RSTART - 1)
    rest = substr(line, RSTART + RLENGTH)
    end_tag = "{{/" name "}}"
    end = index(rest, end_tag)
    line = before render_section(name, substr(rest, 1, end - 1)) substr(rest, end + length(end_tag))
  }
  while (match(line, /\{\{[a-z_.0-9]+\}\}/)) {
    name = substr(line, RSTART + 2, RLENGTH - 4)
    line = substr(line, 1, RSTART - 1) value_of(name) substr(line, RSTART + RLENGTH)
  }
  print line
}
