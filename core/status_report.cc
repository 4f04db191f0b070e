#include "core/status_report.h"

#include <algorithm>
#include <string_view>

#include "core/name_text.h"

namespace peridot {
namespace {

constexpr std::size_t column_gap = 2;

using table_row = std::vector<std::string>;

// Lines of one kind. The first row holds the keys.
struct status_table {
  std::string kind;  // first word of the lines, may be empty
  std::vector<table_row> rows;
};

struct status_line {
  std::string kind;
  table_row keys;
  table_row values;
};

status_line split_line(const std::string& router, std::string_view text) {
  status_line line;
  line.keys.emplace_back("router");
  line.values.push_back(router);
  while (!text.empty()) {
    const std::size_t space = std::min(text.find(' '), text.size());
    const std::string_view field = text.substr(0, space);
    text.remove_prefix(std::min(space + 1, text.size()));
    const std::size_t equals = field.find('=');
    if (field.empty()) {
      continue;
    }
    if (equals == std::string_view::npos && line.keys.size() > 1) {
      line.values.back() += " " + printable(field);
      continue;
    }
    if (equals == std::string_view::npos) {
      line.kind += (line.kind.empty() ? "" : " ") + printable(field);
      continue;
    }
    line.keys.push_back(printable(field.substr(0, equals)));
    line.values.push_back(printable(field.substr(equals + 1)));
  }
  return line;
}

void add_line(std::vector<status_table>& tables, status_line line) {
  auto found = std::find_if(tables.begin(), tables.end(), [&line](const status_table& table) {
    return table.kind == line.kind && table.rows.front() == line.keys;
  });
  if (found == tables.end()) {
    tables.push_back({std::move(line.kind), {std::move(line.keys)}});
    found = tables.end() - 1;
  }
  found->rows.push_back(std::move(line.values));
}

void append_row(std::string& text, const table_row& row, const std::vector<std::size_t>& widths) {
  for (std::size_t column = 0; column < row.size(); ++column) {
    text += row[column];
    if (column + 1 < row.size()) {
      text.append(widths[column] - row[column].size() + column_gap, ' ');
    }
  }
  text += '\n';
}

std::string render(const status_table& table) {
  std::vector<std::size_t> widths(table.rows.front().size(), 0);
  for (const table_row& row : table.rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text = table.kind.empty() ? "" : table.kind + "\n";
  for (const table_row& row : table.rows) {
    append_row(text, row, widths);
  }
  return text;
}

}  // namespace

std::string status_tables(const std::vector<router_status>& statuses) {
  std::vector<status_table> tables;
  for (const router_status& status : statuses) {
    std::string_view rest = status.text;
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find('\n'), rest.size());
      const std::string_view line = rest.substr(0, end);
      rest.remove_prefix(std::min(end + 1, rest.size()));
      if (!line.empty()) {
        add_line(tables, split_line(status.router, line));
      }
    }
  }
  std::string text;
  for (const status_table& table : tables) {
    text += (text.empty() ? "" : "\n") + render(table);
  }
  return text;
}

}  // namespace peridot
