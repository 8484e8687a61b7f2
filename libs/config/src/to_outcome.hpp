#ifndef MASTICSHIFT_CONFIG_TO_OUTCOME_HPP
#define MASTICSHIFT_CONFIG_TO_OUTCOME_HPP

#include <core/outcome.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

namespace masticshift::config
{

/// Runs a function that returns a `boost::leaf::result` and converts the result
/// to an `outcome`, which holds its failure by value and so survives a
/// suspended coroutine.
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
            return failure{result_code::internal,
                           "configuration error without a failure object"};
        });
}

} // namespace masticshift::config

#endif
