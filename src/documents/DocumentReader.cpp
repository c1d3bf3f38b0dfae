#include "documents/DocumentReader.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace lovagecourse {

namespace {

using nlohmann::json;

/// False for a text whose brackets do not match or that ends within a string, which is no document.
/// The parser copies what it has read when it reports such an error.
bool hasMatchingBrackets(std::string_view text)
{
    std::vector<bool> isObject;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        if (letter == '"')
            isInString = !isInString;
        else if (isInString && letter == '\\')
            ++i;
        else if (!isInString && (letter == '{' || letter == '['))
            isObject.push_back(letter == '{');
        else if (!isInString && (letter == '}' || letter == ']')) {
            if (isObject.empty() || isObject.back() != (letter == '}'))
                return false;
            isObject.pop_back();
        }
    }
    return isObject.empty() && !isInString;
}

/// Iterator over a text that replaces bytes that are no ASCII.
class AsciiIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = char;

    explicit AsciiIterator(const char *position)
        : position_(position)
    {}

    char operator*() const
    {
        constexpr char del = 0x7f;
        return static_cast<unsigned char>(*position_) > del ? del : *position_;
    }
    AsciiIterator &operator++()
    {
        ++position_;
        return *this;
    }
    bool operator==(const AsciiIterator &other) const { return position_ == other.position_; }

private:
    const char *position_;
};

/// Handler of the parser's events that builds the selected values.
class SelectingHandler final : public json::json_sax_t
{
public:
    explicit SelectingHandler(const DocumentSelection &selection)
        : selection_(selection)
    {}

    bool null() override { return onScalar(nullptr); }
    bool boolean(bool value) override { return onScalar(value); }
    bool number_integer(number_integer_t value) override { return onScalar(value); }
    bool number_unsigned(number_unsigned_t value) override { return onScalar(value); }
    bool number_float(number_float_t value, const string_t & /*text*/) override
    {
        return onScalar(value);
    }
    bool string(string_t &value) override { return onScalar(value, true); }
    bool binary(binary_t & /*value*/) override { return true; }

    bool start_object(std::size_t /*count*/) override { return open(DocumentKind::Object); }
    bool start_array(std::size_t /*count*/) override { return open(DocumentKind::List); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t &name) override
    {
        if (skippedLevels_ > 0)
            return true;
        const DocumentSelection &object = *open_.back().selection;
        if (object.kind == DocumentKind::Whole) {
            field_ = &object;
            name_ = name;
            return true;
        }
        const auto found =
                std::find_if(object.fields.begin(), object.fields.end(),
                             [&](const SelectedField &field) { return field.name == name; });
        field_ = found == object.fields.end() ? nullptr : &found->selection;
        if (field_)
            name_ = found->name;
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const json::exception & /*error*/) override
    {
        return false;
    }

    json takeRoot() { return std::move(root_); }
    bool isTooDeep() const { return isTooDeep_; }

private:
    /// Container that is being built.
    struct OpenContainer
    {
        json *value = nullptr;
        const DocumentSelection *selection = nullptr;
        std::size_t elements = 0;
        std::size_t unfitElements = 0;
    };

    /// Selection for the value that begins; null if the value is skipped.
    const DocumentSelection *selectionOfNext()
    {
        if (skippedLevels_ > 0)
            return nullptr;
        if (open_.empty())
            return &selection_;
        OpenContainer &parent = open_.back();
        if (parent.value->is_object())
            return field_;
        if (parent.selection->kind == DocumentKind::Whole)
            return parent.selection;
        const bool isRead = parent.elements < parent.selection->maxElements;
        ++parent.elements;
        return isRead ? &parent.selection->element.front() : nullptr;
    }

    /// Counts an element that is of no use; false if it is one too many.
    bool admitsUnfit()
    {
        if (open_.empty() || !open_.back().value->is_array())
            return true;
        return ++open_.back().unfitElements <= maxUnfitElements;
    }

    json &place(json value)
    {
        if (open_.empty())
            return root_ = std::move(value);
        json &parent = *open_.back().value;
        if (parent.is_object())
            return parent[name_] = std::move(value);
        return parent.emplace_back(std::move(value));
    }

    template <class Value>
    bool onScalar(const Value &value, bool isText = false)
    {
        const DocumentSelection *selection = selectionOfNext();
        if (!selection)
            return true;
        const bool isFit = selection->kind == DocumentKind::Scalar
                           || selection->kind == DocumentKind::Whole
                           || (selection->kind == DocumentKind::Text && isText);
        if (isFit || admitsUnfit())
            place(json(value));
        return true;
    }

    bool open(DocumentKind kind)
    {
        const json::value_t type =
                kind == DocumentKind::Object ? json::value_t::object : json::value_t::array;
        const DocumentSelection *selection = selectionOfNext();
        const bool isWhole = selection && selection->kind == DocumentKind::Whole;
        if (isWhole && open_.size() >= selection->maxLevels) {
            isTooDeep_ = true;
            return false;
        }
        if (isWhole || (selection && selection->kind == kind)) {
            json &value = place(json(type));
            open_.push_back({&value, selection});
            return true;
        }
        if (selection && admitsUnfit())
            place(json(type));
        ++skippedLevels_;
        return true;
    }

    bool close()
    {
        if (skippedLevels_ > 0) {
            --skippedLevels_;
            return true;
        }
        const OpenContainer closed = open_.back();
        open_.pop_back();
        const bool isUnfit = closed.selection->kind != DocumentKind::Whole && closed.value->empty();
        if (isUnfit && !admitsUnfit())
            open_.back().value->erase(open_.back().value->size() - 1);
        return true;
    }

    const DocumentSelection &selection_;
    json root_;
    std::vector<OpenContainer> open_;
    /// Open containers that are skipped; they are within the last one of open_.
    std::size_t skippedLevels_ = 0;
    /// Name and selection of the field whose value comes next.
    std::string name_;
    const DocumentSelection *field_ = nullptr;
    bool isTooDeep_ = false;
};

} // namespace

DocumentSelection selectScalar()
{
    return {};
}

DocumentSelection selectText()
{
    DocumentSelection selection;
    selection.kind = DocumentKind::Text;
    return selection;
}

DocumentSelection selectFields(std::vector<SelectedField> fields)
{
    DocumentSelection selection;
    selection.kind = DocumentKind::Object;
    selection.fields = std::move(fields);
    return selection;
}

DocumentSelection selectElements(DocumentSelection element, std::size_t maxElements)
{
    DocumentSelection selection;
    selection.kind = DocumentKind::List;
    selection.element.push_back(std::move(element));
    selection.maxElements = maxElements;
    return selection;
}

DocumentSelection selectWhole(std::size_t maxLevels)
{
    DocumentSelection selection;
    selection.kind = DocumentKind::Whole;
    selection.maxLevels = maxLevels;
    return selection;
}

std::variant<json, DocumentFault>
readDocument(std::string_view text, const DocumentSelection &selection, NonAscii nonAscii)
{
    if (!hasMatchingBrackets(text))
        return DocumentFault::Syntax;
    SelectingHandler handler(selection);
    const AsciiIterator begin(text.data());
    const AsciiIterator end(text.data() + text.size());
    const bool isRead = nonAscii == NonAscii::Replaced ? json::sax_parse(begin, end, &handler)
                                                       : json::sax_parse(text, &handler);
    if (isRead)
        return handler.takeRoot();
    return handler.isTooDeep() ? DocumentFault::TooDeep : DocumentFault::Syntax;
}

} // namespace lovagecourse
