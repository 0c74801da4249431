#include "cli/text_table.h"

#include <algorithm>

namespace almondtally {

std::string TextTable::Text() const {
  std::vector<size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string out;
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      out += row[i];
      const bool last = i + 1 == row.size();
      if (!last) out += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    out += '\n';
  }
  return out;
}

}  // namespace almondtally
