#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lovagecourse::test {

/// A topic with keys of the platform's store, as a scripted store answers reads of it.
class StoredTopic
{
public:
    /// Appends a record; one without a value deletes its key.
    void write(const std::string &key, const std::string &value);
    /// Body of a page of the newest record of each key, from the first key after the given one.
    std::string newestPage(const std::string &after) const;
    /// Body of a read of the records from an offset on.
    std::string read(std::size_t from) const;
    std::size_t end() const;
    /// Drops the records from an offset on.
    void dropFrom(std::size_t offset);

private:
    mutable std::mutex mutex_;
    std::vector<std::pair<std::string, std::string>> records_;
};

} // namespace lovagecourse::test
