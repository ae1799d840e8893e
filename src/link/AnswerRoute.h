#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <string>

namespace cranberryreel::link
{

/// Receives this VM's answers to calls that arrived on its links, to be sent back.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual void answer(const std::string &toVm, std::uint64_t generation, std::uint64_t id, std::string payload) = 0;
};

/// Passes answers from responders to the hub and drops them after close(), since responders may outlive the hub. Shared by the hub and its responders; any
/// thread.
class AnswerRoute
{
public:
    explicit AnswerRoute(AnswerSink &answerSink)
        : sink(&answerSink)
    {
    }

    void answer(const std::string &toVm, std::uint64_t generation, std::uint64_t id, std::string payload)
    {
        absl::MutexLock lock(&this->mutex);
        if (this->sink != nullptr) {
            this->sink->answer(toVm, generation, id, std::move(payload));
        }
    }

    void close()
    {
        absl::MutexLock lock(&this->mutex);
        this->sink = nullptr;
    }

private:
    absl::Mutex mutex;
    AnswerSink *sink ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::link
