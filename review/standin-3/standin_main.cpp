// Runs one case of the review: standin CASE PROGRAM FOLDER RECORD TROUBLE

#include "standin_cases.hpp"

#include <iostream>
#include <map>

namespace
{

using namespace review;

using case_function = asio::awaitable<verdict> (*)(deployment&, record&, bool);

std::map<std::string, case_function> const cases{
    {"cancelled_job_after_restart", cancelled_job_after_restart},
    {"cancelled_job_of_dropped_route", cancelled_job_of_dropped_route},
    {"odd_entry_of_draining_worker", odd_entry_of_draining_worker},
    {"odd_entry_with_another_zone", odd_entry_with_another_zone}};

} // namespace

int main(int argc, char** argv)
{
    constexpr int arguments = 6;
    if (argc != arguments || !cases.contains(argv[1]))
    {
        std::cerr << "usage: standin CASE PROGRAM FOLDER RECORD TROUBLE\n";
        return static_cast<int>(verdict::not_run);
    }
    auto result = verdict::not_run;
    try
    {
        asio::io_context context;
        record log(argv[4]);
        deployment system(context, log, argv[2], argv[3]);
        bool const trouble = std::string(argv[5]) != "0";
        asio::co_spawn(context, cases.at(argv[1])(system, log, trouble),
                       [&](std::exception_ptr const& error, verdict found)
                       {
                           if (!error)
                               result = found;
                           context.stop();
                       });
        context.run();
        log.add("exit code " + std::to_string(static_cast<int>(result)));
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << "\n";
        return static_cast<int>(verdict::not_run);
    }
    return static_cast<int>(result);
}
