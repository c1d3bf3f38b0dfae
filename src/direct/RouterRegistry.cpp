#include "direct/RouterRegistry.h"

#include "core/Log.h"

namespace lovagecourse {

namespace {

constexpr milliseconds retryInterval{500};
constexpr milliseconds callTimeout{1000};

} // namespace

struct RouterRegistry::Impl : std::enable_shared_from_this<Impl>
{
    Impl(EventLoop &loop, DaemonId self, RouterRecord record, Handlers handlers)
        : self(std::move(self))
        , record(std::move(record))
        , handlers(std::move(handlers))
        , writeTimer(loop, [this] { write(); })
        , readTimer(loop, [this] { read(); })
    {}

    void write();
    void onWritten(const WriteResult &fault);
    void read();
    void onRecords(const KeyedResult &result);

    DaemonId self;
    RouterRecord record;
    Handlers handlers;
    FleetStore *store = nullptr;
    bool hasRead = false;
    Timer writeTimer;
    Timer readTimer;
};

void RouterRegistry::Impl::write()
{
    store->append(KeyedTopic::Daemons, self.value, formatRouterRecord(record), callTimeout,
                  [impl = weak_from_this()](const WriteResult &fault) {
                      if (const auto alive = impl.lock())
                          alive->onWritten(fault);
                  });
}

void RouterRegistry::Impl::onWritten(const WriteResult &fault)
{
    if (fault) {
        logWarning(LogPart::Membership, "event=not-listed fault=", toString(*fault));
        writeTimer.startOnce(retryInterval);
    }
    if (!fault || !hasRead)
        read();
}

void RouterRegistry::Impl::read()
{
    store->readNewest(KeyedTopic::Daemons, ReadOptions{milliseconds(0), callTimeout},
                      [impl = weak_from_this()](const KeyedResult &result) {
                          if (const auto alive = impl.lock())
                              alive->onRecords(result);
                      });
}

void RouterRegistry::Impl::onRecords(const KeyedResult &result)
{
    if (const auto *fault = std::get_if<StoreFault>(&result)) {
        logWarning(LogPart::Membership, "event=routers-unknown fault=", toString(*fault));
        readTimer.startOnce(retryInterval);
        return;
    }
    for (const KeyedRecord &found : std::get<KeyedBatch>(result).records) {
        const auto router = parseRouterRecord(found.value.value_or(""));
        if (router && found.key != self.value)
            handlers.onRouter(DaemonId(found.key), *router);
    }
    hasRead = true;
    handlers.onRead();
}

RouterRegistry::RouterRegistry(EventLoop &loop, DaemonId self, RouterRecord record,
                               Handlers handlers)
    : impl_(std::make_shared<Impl>(loop, std::move(self), std::move(record), std::move(handlers)))
{}

RouterRegistry::~RouterRegistry() = default;

void RouterRegistry::start(FleetStore &store)
{
    impl_->store = &store;
    impl_->write();
}

void RouterRegistry::onOlderCopy(milliseconds delay)
{
    if (impl_->store)
        impl_->writeTimer.startOnce(delay);
}

void RouterRegistry::setStore(FleetStore &store)
{
    impl_->store = &store;
}

} // namespace lovagecourse
