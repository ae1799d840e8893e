#include "support/FakeJournal.h"

#include "cranberryreel/base/Error.h"
#include "http/JsonReader.h"

#include <fcntl.h>
#include <unistd.h>

namespace cranberryreel::testsupport
{

namespace
{

std::int64_t wallNanoseconds(base::SteadyTime when)
{
    const auto ago = base::steadyNow() - when;
    return std::chrono::duration_cast<std::chrono::nanoseconds>((std::chrono::system_clock::now() - ago).time_since_epoch()).count();
}

} // namespace

FakeJournal::FakeJournal(const std::string &path)
{
    if (path.empty()) {
        return;
    }
    this->file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (this->file < 0) {
        throw base::Error(base::ResultCode::DataFolderUnwritable, "The journal " + path + " cannot be written.");
    }
}

FakeJournal::~FakeJournal()
{
    if (this->file >= 0) {
        ::close(this->file);
    }
}

void FakeJournal::start(const FakeUpstreamOptions &upstream, const FakeTask &task, base::SteadyTime when)
{
    this->write("start", upstream, task, when, "");
}

void FakeJournal::end(const FakeUpstreamOptions &upstream, const FakeTask &task, base::SteadyTime when, const std::string &outcome)
{
    this->write("end", upstream, task, when, outcome);
}

void FakeJournal::write(const char *event, const FakeUpstreamOptions &upstream, const FakeTask &task, base::SteadyTime when, const std::string &outcome)
{
    if (this->file < 0) {
        return;
    }
    const nlohmann::json line = {{"event", event},
                                 {"task", task.id},
                                 {"attempt", task.attempt},
                                 {"upstream", upstream.id},
                                 {"vm", upstream.vm},
                                 {"t_ns", wallNanoseconds(when)},
                                 {"cpu_millis", task.reserved.cpuMillis},
                                 {"memory_mib", task.reserved.memoryMiB},
                                 {"accelerators", task.reserved.accelerators},
                                 {"kind", task.kind},
                                 {"payload", task.payload},
                                 {"outcome", outcome}};
    const std::string text = http::jsonText(line) + '\n';
    if (::write(this->file, text.data(), text.size()) != static_cast<ssize_t>(text.size())) {
        throw base::Error(base::ResultCode::StorageWriteFailed, "The journal cannot be written.");
    }
}

} // namespace cranberryreel::testsupport
