#ifndef MASTICSHIFT_TEST_SUPPORT_SCRATCH_FOLDER_HPP
#define MASTICSHIFT_TEST_SUPPORT_SCRATCH_FOLDER_HPP

#include <string>

namespace masticshift::test_support
{

/// A new temporary folder for the files of one test. The destructor removes it,
/// unless `keep` was called.
class scratch_folder
{
public:
    scratch_folder();
    ~scratch_folder();

    scratch_folder(scratch_folder const&) = delete;
    scratch_folder& operator=(scratch_folder const&) = delete;

    std::string const& path() const;
    std::string file(std::string const& name) const;
    void write(std::string const& name, std::string const& content) const;
    void keep();

private:
    std::string path_;
    bool kept_ = false;
};

} // namespace masticshift::test_support

#endif
