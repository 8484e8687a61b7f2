#include <test_support/scratch_folder.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace masticshift::test_support
{

scratch_folder::scratch_folder()
{
    auto const base = std::filesystem::temp_directory_path();
    path_ = (base / "masticshift_XXXXXX").string();
    if (mkdtemp(path_.data()) == nullptr)
        throw std::system_error(errno, std::generic_category(), path_);
}

scratch_folder::~scratch_folder()
{
    std::error_code ignored;
    if (!kept_)
        std::filesystem::remove_all(path_, ignored);
}

std::string const& scratch_folder::path() const
{
    return path_;
}

std::string scratch_folder::file(std::string const& name) const
{
    return path_ + "/" + name;
}

void scratch_folder::write(std::string const& name,
                           std::string const& content) const
{
    std::ofstream(file(name)) << content;
}

void scratch_folder::keep()
{
    kept_ = true;
}

} // namespace masticshift::test_support
