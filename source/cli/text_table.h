#pragma once

#include <string>
#include <vector>

namespace almondtally {

/// Text table with aligned columns; the first row is the header.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> head) {
    rows_.push_back(std::move(head));
  }

  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  /// @return the rows, each cell padded to its column's width.
  std::string Text() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace almondtally
