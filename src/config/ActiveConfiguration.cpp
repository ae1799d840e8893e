#include "config/ActiveConfiguration.h"

#include "config/ConfigurationReader.h"
#include "cranberryreel/base/Error.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <algorithm>

namespace cranberryreel::config
{

namespace
{

constexpr std::size_t MaxRecentRevisions = 8;

const observe::Log &log()
{
    static const observe::Log instance("config");
    return instance;
}

} // namespace

ActiveConfiguration::ActiveConfiguration(std::shared_ptr<base::Mailbox> mailbox, std::unique_ptr<RevisionFile> revisionFile)
    : worker(std::move(mailbox))
    , file(std::move(revisionFile))
    , configuration(std::make_shared<Configuration>())
{
}

void ActiveConfiguration::onChange(Listener listener)
{
    this->listeners.push_back(std::move(listener));
}

bool ActiveConfiguration::loadFromDisk()
{
    try {
        const auto saved = this->file ? this->file->load() : std::nullopt;
        if (!saved) {
            return false;
        }
        this->setCurrent(readConfiguration(saved->revision, saved->registerText, saved->rulesText));
    } catch (const base::Error &error) {
        log().error("The revision saved on disk cannot be used: {}", error.what());
        return false;
    }
    log().info("Loaded revision {} from disk.", this->revision());
    return true;
}

std::shared_ptr<const Configuration> ActiveConfiguration::current() const
{
    absl::ReaderMutexLock lock(&this->mutex);
    return this->configuration;
}

std::uint64_t ActiveConfiguration::revision() const
{
    return this->current()->revision;
}

std::shared_ptr<const Configuration> ActiveConfiguration::findRecent(std::uint64_t revision) const
{
    absl::ReaderMutexLock lock(&this->mutex);
    const auto found = std::find_if(this->history.begin(), this->history.end(), [&](const auto &candidate) { return candidate->revision == revision; });
    return found == this->history.end() ? nullptr : *found;
}

void ActiveConfiguration::activate(const RevisionTexts &texts)
{
    if (texts.revision <= this->revision()) {
        return;
    }
    try {
        const auto next = readConfiguration(texts.revision, texts.registerText, texts.rulesText);
        if (!this->save(texts)) {
            return;
        }
        this->setCurrent(next);
    } catch (const base::Error &error) {
        log().error("Revision {} cannot take effect: {}", texts.revision, error.what());
        return;
    }
    log().info("Revision {} is in force.", texts.revision);
    this->answerWaiters();
}

bool ActiveConfiguration::save(const RevisionTexts &texts)
{
    try {
        if (this->file) {
            this->file->save(texts);
        }
    } catch (const base::Error &error) {
        static observe::Counter &failures = observe::counter("cranberryreel_config_save_failures_total", "Failed writes of the revision file.");
        failures.add();
        if (!this->unsaved || this->unsaved->revision < texts.revision) {
            log().error("Revision {} cannot take effect until it can be saved: {}", texts.revision, error.what());
            this->unsaved = texts;
        }
        return false;
    }
    if (this->unsaved && this->unsaved->revision <= texts.revision) {
        this->unsaved.reset();
    }
    return true;
}

void ActiveConfiguration::retryUnsaved()
{
    if (this->unsaved) {
        const RevisionTexts texts = *this->unsaved;
        this->activate(texts);
    }
}

void ActiveConfiguration::notifyAtRevision(std::uint64_t revision, std::chrono::milliseconds limit, RevisionDone done)
{
    if (this->revision() >= revision || limit <= std::chrono::milliseconds(0)) {
        done(this->revision());
        return;
    }
    const auto waiter = std::make_shared<Waiter>(Waiter{revision, std::move(done)});
    this->waiters.push_back(waiter);
    this->worker->postAfter(limit, [this, weak = std::weak_ptr<Waiter>(waiter)] {
        if (const auto late = weak.lock()) {
            this->waiters.remove(late);
            late->done(this->revision());
        }
    });
}

void ActiveConfiguration::setCurrent(const std::shared_ptr<const Configuration> &next)
{
    {
        absl::MutexLock lock(&this->mutex);
        this->configuration = next;
        this->history.push_back(next);
        if (this->history.size() > MaxRecentRevisions) {
            this->history.pop_front();
        }
    }
    for (const Listener &listener : this->listeners) {
        listener(next);
    }
}

void ActiveConfiguration::answerWaiters()
{
    const std::uint64_t now = this->revision();
    std::list<std::shared_ptr<Waiter>> due;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        const auto next = std::next(waiter);
        if ((*waiter)->revision <= now) {
            due.splice(due.end(), this->waiters, waiter);
        }
        waiter = next;
    }
    for (const std::shared_ptr<Waiter> &waiter : due) {
        waiter->done(now);
    }
}

} // namespace cranberryreel::config
