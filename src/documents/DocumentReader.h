#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecourse {

/// Kind of value that a reader wants in a place of a document.
enum class DocumentKind : std::uint8_t {
    /// Text, number, truth value or null.
    Scalar,
    Text,
    Object,
    List,
    /// Any value with all that is in it, up to a number of levels.
    Whole
};

struct SelectedField;

/// What a reader keeps of a value in a document.
struct DocumentSelection
{
    DocumentKind kind = DocumentKind::Scalar;
    /// Fields of an object that are kept.
    std::vector<SelectedField> fields;
    /// What is kept of each element of a list; one selection.
    std::vector<DocumentSelection> element;
    /// Elements of a list that are read; later ones are skipped.
    std::size_t maxElements = std::numeric_limits<std::size_t>::max();
    /// Levels of containers that a whole value may have.
    std::size_t maxLevels = 0;
};

/// Field of an object, and what is kept of its value.
struct SelectedField
{
    std::string_view name;
    DocumentSelection selection;
};

/// Keeps a scalar.
DocumentSelection selectScalar();
/// Keeps a scalar of which only text is of use.
DocumentSelection selectText();
/// Keeps these fields of an object. The names must outlive the selection.
DocumentSelection selectFields(std::vector<SelectedField> fields);
/// Keeps this of each element of a list, up to a number of elements.
DocumentSelection selectElements(DocumentSelection element,
                                 std::size_t maxElements = std::numeric_limits<std::size_t>::max());
/// Keeps everything; a document with more levels of containers is a fault.
DocumentSelection selectWhole(std::size_t maxLevels);

/// Reason why a document can't be read.
enum class DocumentFault : std::uint8_t {
    /// The text is no JSON document.
    Syntax,
    /// A value that is kept whole has too many levels.
    TooDeep
};

/// Elements of one list that are kept although they are of another kind than selected, or have
/// nothing of what is selected. Later ones are left out.
inline constexpr std::size_t maxUnfitElements = 100;

/// How the bytes of a document that are no ASCII are read.
enum class NonAscii : std::uint8_t {
    /// As UTF-8; other encodings are a fault.
    Utf8,
    /// As control characters (DEL).
    Replaced
};

/// Reads what is selected of a JSON document. The rest is checked like all of the text and skipped:
/// it takes no memory. A container in the place of another kind of value is kept without its
/// content. The last one of repeated fields counts.
std::variant<nlohmann::json, DocumentFault> readDocument(std::string_view text,
                                                         const DocumentSelection &selection,
                                                         NonAscii nonAscii = NonAscii::Utf8);

} // namespace lovagecourse
