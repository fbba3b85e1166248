#include "programs/ctl/output.hpp"

#include "programs/ctl/yaml_json.hpp"

#include <algorithm>
#include <iostream>

namespace waxwinglb::programs::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t max_cell_length = 60; // characters; longer values are truncated, but strings never are

std::string cell_text(const json& row, const std::string& column) {
    const auto found = row.find(column);
    if (found == row.end() || found->is_null())
        return "-";
    std::string out = found->is_string() ? found->get<std::string>() : found->dump();
    if (!found->is_string() && out.size() > max_cell_length)
        out = out.substr(0, max_cell_length - 3) + "...";
    return out;
}

} // namespace

std::string format_table(const json& rows, const std::vector<std::string>& columns) {
    std::vector<std::size_t> widths;
    for (const std::string& column : columns) {
        std::size_t width = column.size();
        for (const json& row : rows)
            width = std::max(width, cell_text(row, column).size());
        widths.push_back(width);
    }
    std::string out;
    const auto add = [&out](const std::string& text, std::size_t width, bool last) {
        out += text;
        out += last ? std::string("\n") : std::string(width - text.size() + 2, ' ');
    };
    for (std::size_t i = 0; i < columns.size(); ++i)
        add(columns[i], widths[i], i + 1 == columns.size());
    for (const json& row : rows)
        for (std::size_t i = 0; i < columns.size(); ++i)
            add(cell_text(row, columns[i]), widths[i], i + 1 == columns.size());
    return out;
}

void print(output_form form, const json& value, const json& rows, const std::vector<std::string>& columns) {
    if (form == output_form::json)
        std::cout << value.dump(2) << "\n";
    else if (form == output_form::yaml)
        std::cout << write_yaml(value);
    else
        std::cout << format_table(rows, columns);
}

} // namespace waxwinglb::programs::ctl
