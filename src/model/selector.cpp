#include "model/selector.hpp"

#include <algorithm>
#include <cctype>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::model {

namespace {

bool is_word_character(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '-' || c == '.' ||
           c == '/';
}

/// Recursive-descent parser of selectors.
class selector_parser {
  public:
    explicit selector_parser(std::string_view text) : text_{text} {}

    absl::StatusOr<std::vector<requirement>> parse()
    {
        std::vector<requirement> requirements;
        skip_spaces();
        while (position_ < text_.size()) {
            auto next = parse_requirement();
            if (!next.ok()) {
                return next.status();
            }
            requirements.push_back(*std::move(next));
            skip_spaces();
            if (position_ == text_.size()) {
                break;
            }
            if (!consume(",")) {
                return expected_error("a comma");
            }
            skip_spaces();
            if (position_ == text_.size()) {
                return expected_error("a requirement after the comma");
            }
        }
        return requirements;
    }

  private:
    std::string_view text_;
    std::size_t position_ = 0;

    [[nodiscard]] absl::Status expected_error(std::string_view expected) const
    {
        return core::make_error(core::error_kind::invalid_argument,
                                core::concat("selector \"", text_, "\", column ", position_ + 1,
                                             ": expected ", expected),
                                "write requirements such as tier=gold, zone in (a,b), !trial");
    }

    void skip_spaces()
    {
        while (position_ < text_.size() && text_[position_] == ' ') {
            ++position_;
        }
    }

    bool consume(std::string_view literal)
    {
        skip_spaces();
        if (text_.substr(position_).substr(0, literal.size()) != literal) {
            return false;
        }
        position_ += literal.size();
        return true;
    }

    bool consume_word(std::string_view word)
    {
        const std::size_t before = position_;
        if (consume(word) && (position_ == text_.size() || !is_word_character(text_[position_]))) {
            return true;
        }
        position_ = before;
        return false;
    }

    std::string parse_word()
    {
        skip_spaces();
        const std::size_t begin = position_;
        while (position_ < text_.size() && is_word_character(text_[position_])) {
            ++position_;
        }
        return std::string{text_.substr(begin, position_ - begin)};
    }

    absl::StatusOr<std::vector<std::string>> parse_list()
    {
        std::vector<std::string> values;
        if (!consume("(")) {
            return expected_error("an opening parenthesis");
        }
        do {
            std::string value = parse_word();
            if (value.empty()) {
                return expected_error("a value");
            }
            values.push_back(std::move(value));
        } while (consume(","));
        if (!consume(")")) {
            return expected_error("a closing parenthesis");
        }
        std::sort(values.begin(), values.end());
        return values;
    }

    absl::StatusOr<requirement> parse_list_requirement(std::string key, label_test test)
    {
        auto values = parse_list();
        if (!values.ok()) {
            return values.status();
        }
        return requirement{std::move(key), test, *std::move(values)};
    }

    absl::StatusOr<requirement> parse_value_requirement(std::string key, label_test test)
    {
        std::string value = parse_word();
        if (value.empty()) {
            return expected_error("a value");
        }
        return requirement{std::move(key), test, {std::move(value)}};
    }

    absl::StatusOr<requirement> parse_requirement()
    {
        const bool negated = consume("!");
        std::string key = parse_word();
        if (key.empty()) {
            return expected_error("a key");
        }
        if (negated) {
            return requirement{std::move(key), label_test::not_exists, {}};
        }
        if (consume("!=")) {
            return parse_value_requirement(std::move(key), label_test::not_equals);
        }
        if (consume("==") || consume("=")) {
            return parse_value_requirement(std::move(key), label_test::equals);
        }
        if (consume_word("notin")) {
            return parse_list_requirement(std::move(key), label_test::not_in);
        }
        if (consume_word("in")) {
            return parse_list_requirement(std::move(key), label_test::in);
        }
        return requirement{std::move(key), label_test::exists, {}};
    }
};

/// @return true if the requirement demands that the label has one of the listed values
bool requires_value(const requirement& condition)
{
    return condition.test == label_test::equals || condition.test == label_test::in;
}

bool contains(const std::vector<std::string>& values, std::string_view value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

/// Tests in one direction; the caller also tests the swapped pair.
/// @return true if it is certain that no label set satisfies both requirements
bool excludes(const requirement& left, const requirement& right)
{
    if (left.key != right.key) {
        return false;
    }
    const bool left_present = requires_value(left) || left.test == label_test::exists;
    if (left_present && right.test == label_test::not_exists) {
        return true;
    }
    if (!requires_value(left)) {
        return false;
    }
    return std::none_of(left.values.begin(), left.values.end(), [&](const std::string& value) {
        return right.matches(label_set{{{left.key, value}}});
    });
}

} // namespace

bool requirement::matches(const label_set& labels) const
{
    const auto value = labels.find(key);
    switch (test) {
    case label_test::equals:
    case label_test::in:
        return value.has_value() && contains(values, *value);
    case label_test::not_equals:
    case label_test::not_in:
        return !value.has_value() || !contains(values, *value);
    case label_test::exists:
        return value.has_value();
    case label_test::not_exists:
        break;
    }
    return !value.has_value();
}

absl::StatusOr<selector> selector::parse(std::string_view text)
{
    auto requirements = selector_parser{text}.parse();
    if (!requirements.ok()) {
        return requirements.status();
    }
    return selector{*std::move(requirements)};
}

bool selector::matches(const label_set& labels) const
{
    return std::all_of(requirements_.begin(), requirements_.end(),
                       [&](const requirement& condition) { return condition.matches(labels); });
}

bool selector::may_overlap(const selector& other) const
{
    for (const requirement& left : requirements_) {
        for (const requirement& right : other.requirements_) {
            if (excludes(left, right) || excludes(right, left)) {
                return false;
            }
        }
    }
    return true;
}

std::string to_string(const requirement& condition)
{
    const std::string values = core::join(condition.values, ",");
    switch (condition.test) {
    case label_test::equals:
        return core::concat(condition.key, "=", values);
    case label_test::not_equals:
        return core::concat(condition.key, "!=", values);
    case label_test::in:
        return core::concat(condition.key, " in (", values, ")");
    case label_test::not_in:
        return core::concat(condition.key, " notin (", values, ")");
    case label_test::exists:
        return condition.key;
    case label_test::not_exists:
        break;
    }
    return core::concat("!", condition.key);
}

std::string to_string(const selector& selected)
{
    std::vector<std::string> parts;
    for (const requirement& condition : selected.requirements()) {
        parts.push_back(to_string(condition));
    }
    return core::join(parts, ",");
}

} // namespace cyclamen::model
