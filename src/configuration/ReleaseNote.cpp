#include "configuration/ReleaseNote.h"

namespace lovagecourse {

std::string toString(const NoteFault &fault)
{
    std::string text = fault.item + ": expected " + fault.expected;
    if (fault.line == 0)
        return text;
    return std::to_string(fault.line) + ':' + std::to_string(fault.column) + ": " + text;
}

} // namespace lovagecourse
