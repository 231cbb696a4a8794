#include "command/NativeProtocols.h"

#include "agent/NativeWorkerLink.h"
#include "entry/HttpApi.h"
#include "runtime/ConsulStore.h"

namespace skylark {
namespace {

auto makeStore(HttpClient &Http, const Settings &Settings)
    -> std::unique_ptr<StoreTransport> {
  return std::make_unique<ConsulStore>(Http, Settings.Store_.text());
}

auto maxValueSize(const Settings &Settings) -> std::size_t {
  return Settings.Entry_.MaxValueSize_;
}

auto makeCallerServer(asio::io_context &Traffic, const Settings &Settings,
                      CallerHandlers Handlers)
    -> std::unique_ptr<CallerServer> {
  return std::make_unique<HttpApi>(Traffic, Settings, std::move(Handlers));
}

auto makeWorker(asio::io_context & /*Traffic*/, HttpClient &Http,
                const Settings &Settings, Incarnation AgentIncarnation,
                WorkerLinkHandlers Handlers) -> std::unique_ptr<WorkerLink> {
  return std::make_unique<NativeWorkerLink>(
      Http, Settings.Worker_.text(), AgentIncarnation, std::move(Handlers));
}

} // namespace

auto nativeEntryProtocols() -> EntryProtocols {
  return {makeStore, makeCallerServer, maxValueSize};
}

auto nativeAgentProtocols() -> AgentProtocols {
  return {makeWorker, makeStore,
          [](const Settings & /*Settings*/) { return Millis{0}; }};
}

} // namespace skylark
