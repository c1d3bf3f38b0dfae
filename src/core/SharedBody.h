#pragma once

#include "core/MemoryAccount.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lovagecourse {

/// Immutable body of a message. Copies share the bytes and their reservation.
class SharedBody
{
public:
    SharedBody() = default;
    SharedBody(const char *bytes)
        : SharedBody(std::string(bytes))
    {}
    SharedBody(std::string bytes, MemoryReservation memory = {})
    {
        if (!bytes.empty())
            content_ =
                    std::make_shared<const Content>(Content{std::move(bytes), std::move(memory)});
    }

    const std::string &str() const { return content_ ? content_->bytes : emptyBytes(); }
    operator const std::string &() const { return str(); }
    std::size_t size() const { return str().size(); }
    bool empty() const { return !content_; }
    friend bool operator==(const SharedBody &body, std::string_view bytes)
    {
        return body.str() == bytes;
    }

private:
    struct Content
    {
        std::string bytes;
        MemoryReservation memory;
    };

    static const std::string &emptyBytes()
    {
        static const std::string empty;
        return empty;
    }

    std::shared_ptr<const Content> content_;
};

} // namespace lovagecourse
