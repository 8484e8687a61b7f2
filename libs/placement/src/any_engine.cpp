#include <placement/any_engine.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

namespace masticshift::placement
{

namespace
{

template <placement_policy Policy>
any_engine make(engine_settings settings)
{
    return any_engine(engine<Policy>(std::move(settings)));
}

template <placement_policy... Policies>
struct policy_table
{
    using maker = any_engine (*)(engine_settings);

    static constexpr std::array<std::string_view, sizeof...(Policies)> names{
        Policies::name...};
    static constexpr std::array<maker, sizeof...(Policies)> makers{
        &make<Policies>...};
};

using policies = policy_table<lending_policy, lending_fast_policy,
                              lending_eager_policy, lending_fifo_policy,
                              fixed_share_policy, fixed_share_fifo_policy>;

} // namespace

std::span<std::string_view const> policy_names()
{
    return policies::names;
}

std::optional<any_engine> make_engine(std::string_view policy,
                                      engine_settings settings)
{
    auto const found = std::ranges::find(policies::names, policy);
    if (found == policies::names.end())
        return std::nullopt;
    auto const index =
        static_cast<std::size_t>(found - policies::names.begin());
    return policies::makers[index](std::move(settings));
}

} // namespace masticshift::placement
