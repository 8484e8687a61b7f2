#ifndef MASTICSHIFT_CONFIG_TO_OUTCOME_HPP
#define MASTICSHIFT_CONFIG_TO_OUTCOME_HPP

#include <core/outcome.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

namespace masticshift::config
{

/// Runs a function that gives a `boost::leaf::result` and keeps its failure
/// with the value, so that it may cross a suspended coroutine.
template <class Value, class Function>
outcome<Value> to_outcome(Function const& function)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<outcome<Value>>
        {
            BOOST_LEAF_AUTO(value, function());
            return outcome<Value>(std::move(value));
        },
        [](failure const& error) -> outcome<Value>
        {
            return error;
        },
        []() -> outcome<Value>
        {
            return failure{result_code::internal, "error without a cause"};
        });
}

} // namespace masticshift::config

#endif
