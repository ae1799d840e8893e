#pragma once

#include "cell/CellState.h"
#include "cell/TaskKey.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::support
{

/// Small parts of a cell state for tests.
std::unique_ptr<cell::wire::StepT> step(std::uint32_t tasks, std::uint32_t cpuMillis);
std::unique_ptr<cell::wire::QueueT> queue(const std::string &name, int priority, std::uint32_t maxFailures);
std::unique_ptr<cell::wire::RulesT> rules(std::uint64_t version);
std::unique_ptr<cell::wire::UpstreamT> upstream(const std::string &id, std::uint32_t cpuMillis);

/// A job of the queue "quick" by default.
std::unique_ptr<cell::wire::JobSpecT> job(const std::string &id, std::vector<std::unique_ptr<cell::wire::StepT>> steps, const std::string &queue = "quick");
std::unique_ptr<cell::wire::JobSpecT> job(const std::string &id, std::unique_ptr<cell::wire::StepT> only, const std::string &queue = "quick");

/// Commands with a single change each.
cell::wire::CommandT accept(std::unique_ptr<cell::wire::JobSpecT> spec);
cell::wire::CommandT announce(std::unique_ptr<cell::wire::UpstreamT> upstream);
cell::wire::CommandT place(const cell::TaskKey &task, std::uint32_t attempt, std::uint64_t upstream);
cell::wire::CommandT
end(const cell::TaskKey &task, std::uint32_t attempt, std::uint64_t upstream, cell::wire::EndKind kind, const std::string &checkpoint = {});
cell::wire::CommandT put(std::unique_ptr<cell::wire::RulesT> rules);

/// The key of a task of the first occurrence.
cell::TaskKey key(std::uint64_t job, std::uint32_t step, std::uint32_t task);

} // namespace cranberryreel::support
