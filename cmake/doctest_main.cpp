// Main program of every doctest program. Passes over the test cases that the
// file named by MASTICSHIFT_KNOWN_RED lists in lines `test: PROGRAM: CASE`.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace
{

/// A filter that matches exactly this name: doctest takes commas as separators.
std::string filter_of(std::string const& name)
{
    std::string filter;
    for (auto const character : name)
    {
        if (character == ',')
            filter += '\\';
        filter += character;
    }
    return filter;
}

void pass_over_known_red(doctest::Context& context, char const* program)
{
    auto const* const path = std::getenv("MASTICSHIFT_KNOWN_RED");
    if (path == nullptr)
        return;
    auto const prefix =
        "test: " + std::filesystem::path(program).filename().string() + ": ";
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with(prefix))
            context.addFilter("test-case-exclude",
                              filter_of(line.substr(prefix.size())).c_str());
    }
}

} // namespace

int main(int argc, char** argv)
{
    doctest::Context context(argc, argv);
    pass_over_known_red(context, argv[0]);
    return context.run();
}
