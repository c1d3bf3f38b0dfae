#include "integration/StoredTopic.h"

#include <openssl/evp.h>

#include <map>

namespace lovagecourse::test {

namespace {

// A page and a read end before the first record that would exceed this size.
constexpr std::size_t maxAnswerBytes = 1U << 20;

std::string encodeBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string bigEndian(std::size_t value, std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t i = count; i > 0; --i, value >>= 8U)
        bytes[i - 1] = static_cast<char>(value & 0xffU);
    return bytes;
}

} // namespace

void StoredTopic::write(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    records_.emplace_back(key, value);
}

std::string StoredTopic::newestPage(const std::string &after) const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::size_t> newest;
    for (std::size_t offset = 0; offset < records_.size(); ++offset)
        newest[records_[offset].first] = offset;
    std::string items;
    std::size_t bytes = 0;
    bool hasMore = false;
    for (auto entry = newest.upper_bound(after); entry != newest.end(); ++entry) {
        const auto &[key, value] = records_[entry->second];
        if (value.empty())
            continue;
        bytes += value.size();
        hasMore = !items.empty() && bytes > maxAnswerBytes;
        if (hasMore)
            break;
        items += (items.empty() ? "" : ",") + (R"({"key":")" + key) + R"(","value":")"
                 + encodeBase64(value) + R"(","offset":)" + std::to_string(entry->second) + '}';
    }
    return R"({"items":[)" + items + R"(],"has_more":)" + (hasMore ? "true" : "false")
           + R"(,"end_offset":)" + std::to_string(records_.size()) + '}';
}

std::string StoredTopic::read(std::size_t from) const
{
    const std::lock_guard lock(mutex_);
    // End offset and first retained offset.
    std::string body = bigEndian(records_.size(), 8) + bigEndian(0, 8);
    const std::size_t empty = body.size();
    for (std::size_t offset = from; offset < records_.size(); ++offset) {
        const auto &[key, value] = records_[offset];
        std::string record(1, static_cast<char>(key.size()));
        record += key;
        record += value;
        if (body.size() > empty && body.size() + record.size() > maxAnswerBytes)
            break;
        body += bigEndian(record.size(), 4) + record;
    }
    return body;
}

void StoredTopic::dropFrom(std::size_t offset)
{
    const std::lock_guard lock(mutex_);
    records_.resize(std::min(records_.size(), offset));
}

std::size_t StoredTopic::end() const
{
    const std::lock_guard lock(mutex_);
    return records_.size();
}

} // namespace lovagecourse::test
