#include <history/history.hpp>

#include <history/codec.hpp>

#include <algorithm>
#include <fstream>

namespace masticshift::history
{

namespace
{

failure line_error(std::string const& path, std::uint32_t line,
                   std::string const& detail)
{
    return {result_code::io_error,
            path + ":" + std::to_string(line) + ": " + detail};
}

/// Appends the records of one file.
outcome<void> read_file(std::string const& path, std::uint32_t file,
                        std::vector<record>& records)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return failure{result_code::io_error, path + ": cannot be read"};
    std::string text;
    for (std::uint32_t line = 1; std::getline(stream, text); ++line)
    {
        auto parsed = parse_record_line(text);
        bool const has_no_newline = stream.eof();
        if (!parsed && has_no_newline)
            break;
        if (!parsed)
            return line_error(path, line, parsed.error().detail);
        if (!*parsed)
            continue;
        auto& fields = **parsed;
        records.push_back({fields.us, std::move(fields.source),
                           std::move(fields.content), file, line});
    }
    return boost::system::in_place_value;
}

} // namespace

outcome<recorded_history> read_history(std::vector<std::string> const& paths)
{
    std::vector<std::vector<record>> parts;
    for (std::uint32_t file = 0; file < paths.size(); ++file)
    {
        auto const read = read_file(paths[file], file, parts.emplace_back());
        if (!read)
            return read.error();
    }
    // A restarted source may continue in another file, so the files are put in
    // the order of their first records.
    std::erase_if(parts,
                  [](auto const& part)
                  {
                      return part.empty();
                  });
    std::ranges::stable_sort(parts, {},
                             [](auto const& part)
                             {
                                 return part.front().us;
                             });
    recorded_history history{paths, {}};
    for (auto& part : parts)
        std::ranges::move(part, std::back_inserter(history.records));
    return history;
}

std::string describe(recorded_history const& history, record const& where)
{
    std::string place = where.file < history.files.size()
                            ? history.files[where.file]
                            : where.source;
    return place + ":" + std::to_string(where.line) + " " +
           std::string(name_of(kind_of(where.content)));
}

} // namespace masticshift::history
