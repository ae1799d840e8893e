#include "cli/LocalCommands.h"

#include "cli/Completion.h"
#include "config/KeyHash.h"
#include "cranberryreel/base/Error.h"
#include "settings/SettingsTable.h"

#include <absl/strings/ascii.h>

#include <iterator>

namespace cranberryreel::cli
{

base::ResultCode hashKey(Session &session, const Arguments & /*arguments*/)
{
    const std::string text{std::istreambuf_iterator<char>(session.in()), std::istreambuf_iterator<char>()};
    const std::string key(absl::StripAsciiWhitespace(text));
    if (key.empty()) {
        throw base::Error(base::ResultCode::UsageError, "standard input holds no key; try `cranberryreel key hash < FILE`");
    }
    session.out() << config::keyHash(key) << '\n';
    return base::ResultCode::Ok;
}

base::ResultCode showSettingsTable(Session &session, const Arguments & /*arguments*/)
{
    session.out() << settings::settingsMarkdown();
    return base::ResultCode::Ok;
}

base::ResultCode completeBash(Session &session, const Arguments & /*arguments*/)
{
    session.out() << bashCompletion();
    return base::ResultCode::Ok;
}

} // namespace cranberryreel::cli
