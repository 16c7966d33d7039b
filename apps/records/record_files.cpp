#include "record_files.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vanillapost/base.hpp>
#include <vanillapost/records.hpp>

namespace vanillapost::records_app {

namespace {

constexpr std::string_view read_step = "read records";

std::string read_text(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw error(read_step, path, "cannot be opened");
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (file.bad())
        throw error(read_step, path, "cannot be read");
    return text;
}

void append_record(std::vector<written_record>& records,
                   const nlohmann::json& document, const std::string& peer)
{
    auto record = check_record(document, peer);
    if (record.text.size() > max_record_bytes)
        throw error(read_step, peer,
                    "longer than " + std::to_string(max_record_bytes) +
                        " bytes");
    records.push_back(std::move(record));
}

} // namespace

std::vector<written_record> read_record_file(const std::string& path)
{
    const auto document =
        parse_bounded_json(read_text(path), max_file_bytes, read_step, path);
    std::vector<written_record> records;
    if (!document.is_array()) {
        append_record(records, document, path);
        return records;
    }
    for (std::size_t i = 0; i < document.size(); ++i)
        append_record(records, document[i], path + "#" + std::to_string(i));
    return records;
}

std::vector<written_record>
read_record_files(const std::vector<std::string>& paths)
{
    std::vector<written_record> records;
    std::string problems;
    for (const auto& path : paths) {
        try {
            auto some = read_record_file(path);
            std::move(some.begin(), some.end(), std::back_inserter(records));
        } catch (const error& failure) {
            problems += problems.empty() ? "" : "\n";
            problems += failure.what();
        }
    }
    if (!problems.empty())
        throw error(read_step, "", problems);
    return records;
}

std::vector<std::string> list_record_files(const std::string& directory)
{
    namespace fs = std::filesystem;
    std::vector<std::string> paths;
    try {
        for (const auto& each : fs::recursive_directory_iterator(directory)) {
            if (each.is_regular_file() && each.path().extension() == ".json")
                paths.push_back(each.path().string());
        }
    } catch (const fs::filesystem_error& failure) {
        throw error(read_step, directory, failure.what());
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

} // namespace vanillapost::records_app
