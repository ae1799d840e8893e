#pragma once

#include <string_view>

namespace cranberryreel::base
{

/// Numbered results reported to callers, to operators and in logs. docs/RESULT_CODES.md lists the same numbers; ResultCodesTest compares the two.
/// Ranges by thousands: 0 success, 1 settings and command line, 2 caller input, 3 outcomes and admission, 4 configuration, 5 links and replication, 6
/// upstreams, 9 internal faults.
enum class ResultCode {
    Ok = 0,

    SettingsFileMissing = 1001,
    SettingsSyntax = 1002,
    SettingsUnknownSection = 1003,
    SettingsUnknownKey = 1004,
    SettingsMissingKey = 1005,
    SettingsBadValue = 1006,
    SettingsOutOfRange = 1007,
    SettingsInconsistent = 1008,
    PortInUse = 1010,
    DataFolderUnwritable = 1011,
    UsageError = 1020,
    EntryUnreachable = 1021,
    WaitTimedOut = 1022,

    MalformedJson = 2001,
    UnknownField = 2002,
    MissingField = 2003,
    FieldOutOfRange = 2004,
    FieldWrongType = 2005,
    BodyTooLarge = 2006,
    Unauthorized = 2007,
    NotFound = 2008,
    MethodNotAllowed = 2009,
    Forbidden = 2010,
    KeyReusedForOtherWork = 2011,
    RequestTimedOut = 2012,
    TooManyConnections = 2013,
    AnswerDeferred = 2014,

    NeverFits = 3001,
    DeadlineUnreachable = 3002,
    QueueFull = 3003,
    QuotaExceeded = 3004,
    CancelledBeforeStart = 3005,
    CancelledWhileRunning = 3006,
    NoLeader = 3007,
    HomeZoneUnreachable = 3008,
    NoDurableStore = 3009,
    OutcomeUnknown = 3010,
    TaskFailed = 3011,
    LeaseLost = 3012,
    ShuttingDown = 3013,
    DeadlinePassed = 3014,
    Preempted = 3015,

    RevisionConflict = 4001,
    RegisterInvalid = 4002,
    RulesInvalid = 4003,
    ChangeIdReused = 4004,
    ConfigurationUnavailable = 4005,
    UnknownVm = 4006,

    LinkHandshakeRefused = 5001,
    LinkVersionMismatch = 5002,
    LinkFrameInvalid = 5003,
    LinkDown = 5004,
    NotLeader = 5005,
    LogCorrupt = 5006,
    SnapshotCorrupt = 5007,
    StorageWriteFailed = 5008,
    GroupUnavailable = 5009,
    LogNotCompacted = 5010,

    UpstreamUnreachable = 6001,
    UpstreamStaleEpoch = 6002,
    UpstreamRefused = 6003,
    UpstreamProtocol = 6004,
    UpstreamUnknown = 6005,

    Internal = 9001,
};

/// Returns the constant's name, as spelled in docs/RESULT_CODES.md; "Unrecognized" for a number outside the table.
std::string_view resultName(ResultCode code);

} // namespace cranberryreel::base
