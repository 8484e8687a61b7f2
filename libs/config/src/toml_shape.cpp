#include "toml_shape.hpp"

namespace masticshift::config
{

namespace
{

/// Counts brackets and the dots of keys, skipping strings and comments.
class shape_scanner
{
public:
    explicit shape_scanner(std::string_view text) : text_(text)
    {
    }

    std::optional<shape_error> scan()
    {
        while (position_ < text_.size() && error_ == nullptr)
            scan_character(text_[position_++]);
        if (error_ == nullptr)
            return std::nullopt;
        return shape_error{line_, {result_code::config_syntax, error_}};
    }

private:
    void scan_character(char c)
    {
        switch (c)
        {
        case '\n':
            ++line_;
            dots_ = 0;
            break;
        case '#':
            skip_comment();
            break;
        case '"':
        case '\'':
            skip_string(c);
            break;
        case '[':
        case '{':
            open_bracket();
            break;
        case ']':
        case '}':
            close_bracket();
            break;
        case '=':
        case ',':
            dots_ = 0;
            break;
        case '.':
            count_dot();
            break;
        default:
            break;
        }
    }

    void skip_comment()
    {
        auto const end = text_.find('\n', position_);
        position_ = end == std::string_view::npos ? text_.size() : end;
    }

    void skip_string(char quote)
    {
        if (text_.substr(position_, 2) == std::string(2, quote))
        {
            error_ = "multi-line strings are not supported";
            return;
        }
        while (position_ < text_.size() && text_[position_] != '\n')
        {
            char const c = text_[position_++];
            if (c == quote)
                return;
            if (c == '\\' && quote == '"' && position_ < text_.size() &&
                text_[position_] != '\n')
                ++position_;
        }
    }

    void open_bracket()
    {
        dots_ = 0;
        if (++brackets_ > max_nested_brackets)
            error_ = "values are nested too deeply";
    }

    void close_bracket()
    {
        dots_ = 0;
        if (brackets_ > 0)
            --brackets_;
    }

    void count_dot()
    {
        if (++dots_ > max_key_dots)
            error_ = "a dotted key has too many parts";
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::size_t line_ = 1;
    unsigned brackets_ = 0;
    unsigned dots_ = 0;
    char const* error_ = nullptr;
};

} // namespace

std::optional<shape_error> find_shape_error(std::string_view toml)
{
    if (toml.size() > max_text_bytes)
    {
        return shape_error{1,
                           {result_code::config_out_of_range,
                            "the text is longer than " +
                                std::to_string(max_text_bytes) + " bytes"}};
    }
    return shape_scanner(toml).scan();
}

} // namespace masticshift::config
